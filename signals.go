package carawaybeam

import (
	"errors"
	"strconv"
	"strings"
)

// maxDecimalLength is the maximum length of a number that ParseDecimal accepts.
const maxDecimalLength = 20

var errNotDecimal = errors.New("not one decimal number")

// ParseDecimal parses the values of a header field that must be one decimal number, not negative
// and without an exponent.
func ParseDecimal(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, errNotDecimal
	}
	text := strings.TrimSpace(values[0])
	isOther := func(r rune) bool { return r != '.' && (r < '0' || r > '9') }
	if len(text) > maxDecimalLength || strings.ContainsFunc(text, isOther) {
		return 0, errNotDecimal
	}
	return strconv.ParseFloat(text, 64)
}
