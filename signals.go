package carawaybeam

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxDecimalLength is the maximum length of a decimal number in a signal.
	maxDecimalLength = 20

	// maxRetryAfter is the longest time for which a backend server can refuse all
	// requests. Longer ones are reduced to it.
	maxRetryAfter = 10 * time.Minute

	// maxLoggedValue is the length to which an invalid value is cut off.
	maxLoggedValue = 40

	// setFlag is the value of a header field that is a flag and set.
	setFlag = "1"
)

// SignalFields names the header fields in which backend servers say something of themselves.
type SignalFields struct {
	// Limit is a number of requests per second, Leaving a flag and RetryAfter, in a 503, a
	// number of seconds.
	Limit, Leaving, RetryAfter string
	// Prefix begins the names of such fields, also of those that are not known yet.
	Prefix string
}

var errNotDecimal = errors.New("not one decimal number")

// Decode decodes what a backend server says of itself in an answer.
func (f SignalFields) Decode(status int, header http.Header) BackendSignals {
	var signals BackendSignals
	if limit, ok := f.decimal(&signals, header, f.Limit); ok {
		rate := RequestRate(limit)
		signals.Limit = &rate
	}
	if values := header.Values(f.Leaving); len(values) > 0 {
		if signals.Leaving = slices.Contains(values, setFlag); !signals.Leaving {
			signals.addInvalid(f.Leaving, values)
		}
	}
	if status == http.StatusServiceUnavailable {
		if seconds, ok := f.decimal(&signals, header, f.RetryAfter); ok {
			signals.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	}
	for name := range header {
		if strings.HasPrefix(name, f.Prefix) && name != f.Limit && name != f.Leaving {
			signals.Unknown = append(signals.Unknown, name)
		}
	}
	return signals
}

// decimal decodes a field that must be one decimal number, not negative and without an
// exponent. It returns false if the field is absent or invalid.
func (f SignalFields) decimal(signals *BackendSignals, header http.Header, name string) (float64, bool) {
	values := header.Values(name)
	if len(values) == 0 {
		return 0, false
	}
	number, err := parseDecimal(values)
	if err != nil {
		signals.addInvalid(name, values)
	}
	return number, err == nil
}

func parseDecimal(values []string) (float64, error) {
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

// addInvalid records a field whose value cannot be decoded.
func (s *BackendSignals) addInvalid(name string, values []string) {
	text := strings.Join(values, ", ")
	s.Invalid = append(s.Invalid, name+": "+text[:min(len(text), maxLoggedValue)])
}
