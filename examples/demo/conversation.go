package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/server"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	token         = "kitami-dish-works-token"
	bookingNumber = "B-1207"
	streamEnd     = "data: [DONE]"
	typeJSON      = "application/json"
)

// answerError reports an unexpected answer.
type answerError struct {
	problem string
	got     string
}

func (e *answerError) Error() string { return e.problem + ": " + e.got }

// sendRequests sends the four requests of the demo and checks their answers. The
// second booking goes to another entry than the first one.
func sendRequests(ctx context.Context, f *fleet) error {
	first, last := f.entries[0], f.entries[len(f.entries)-1]
	if err := summarise(ctx, first); err != nil {
		return err
	}
	if err := lookUp(ctx, first); err != nil {
		return err
	}
	confirmed, err := book(ctx, first)
	if err != nil {
		return err
	}
	repeated, err := book(ctx, last)
	if err != nil {
		return err
	}
	if repeated != confirmed {
		return &answerError{problem: "second booking got a different answer", got: repeated}
	}
	return checkBookedOnce(ctx, f)
}

func callerURL(entry loader.Entry, path string) string {
	return "http://" + string(entry.Callers) + path
}

func summarise(ctx context.Context, entry loader.Entry) error {
	header := http.Header{server.HeaderClass: {"drafting"}}
	body := []byte(`{"prompt":"Summarise the inspection of mast 7 at Rubeshibe.","max_tokens":12,"stream":true}`)
	stream, err := fetch(ctx, http.MethodPost, callerURL(entry, "/v1/completions"), header, body, nil)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(strings.TrimSpace(stream), streamEnd) {
		return &answerError{problem: "summary is incomplete", got: stream}
	}
	fmt.Printf("summary by %s:\n%s", entry.Process, stream)
	return nil
}

func lookUp(ctx context.Context, entry loader.Entry) error {
	answer, err := fetch(ctx, http.MethodGet, callerURL(entry, "/services/lookups/orders/4711"), nil, nil, nil)
	if err != nil {
		return err
	}
	fmt.Printf("lookup by %s: %s", entry.Process, answer)
	return nil
}

func book(ctx context.Context, entry loader.Entry) (string, error) {
	header := http.Header{server.HeaderKey: {"visit-" + bookingNumber}}
	body := []byte(`{"number":"` + bookingNumber + `","visit":"2026-12-04"}`)
	answer, err := fetch(ctx, http.MethodPost, callerURL(entry, "/services/bookings/bookings"), header, body, nil)
	if err != nil {
		return "", err
	}
	fmt.Printf("booking by %s: %s", entry.Process, answer)
	return answer, nil
}

// checkBookedOnce checks with the counts of the fake services that the booking
// ran exactly once.
func checkBookedOnce(ctx context.Context, f *fleet) error {
	runs := 0
	for _, service := range f.services {
		var counts struct {
			Bookings map[string]int `json:"bookings"`
		}
		if _, err := fetch(ctx, http.MethodGet, service+"/counts", nil, nil, &counts); err != nil {
			return err
		}
		runs += counts.Bookings[bookingNumber]
	}
	fmt.Printf("booking %s ran %d time(s)\n", bookingNumber, runs)
	if runs != 1 {
		return &answerError{
			problem: "number of runs of the booking is not 1",
			got:     fmt.Sprint(runs),
		}
	}
	return nil
}

// fetch sends a request and returns the body of the answer, or decodes it into
// result if that is not nil. It returns an error unless the status is 200.
func fetch(ctx context.Context, method, url string, header http.Header, body []byte, result any) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", typeJSON)
	request.Header.Set("Authorization", "Bearer "+token)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := verifier.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", &answerError{problem: response.Status, got: string(data)}
	}
	if result != nil {
		return "", json.Unmarshal(data, result)
	}
	return string(data), nil
}
