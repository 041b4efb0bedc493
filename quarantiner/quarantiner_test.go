package quarantiner_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// TestCulprits checks which requests are quarantined by the requests that were running in
// each crash. A request that only ran beside a culprit must not be refused.
func TestCulprits(t *testing.T) {
	tests := map[string]struct {
		// crashes holds the requests that were running in each crash.
		crashes  []string
		culprits string
	}{
		"one crash":                      {[]string{"g a b"}, ""},
		"alone twice":                    {[]string{"g", "g"}, "g"},
		"beside others":                  {[]string{"g a b", "g c d"}, "g"},
		"together twice":                 {[]string{"g a", "g a"}, ""},
		"together twice, then apart":     {[]string{"g a", "g a", "g"}, "g"},
		"beside one, three times":        {[]string{"g a", "g a b", "g b c"}, "g"},
		"two culprits":                   {[]string{"g a", "h a", "g", "h"}, "g h"},
		"beside two culprits each twice": {[]string{"g a", "h a", "g a", "h a", "g", "h"}, "g h"},
		"always together":                {[]string{"g a", "g a", "g a", "g a"}, "a"},
		"different requests":             {[]string{"a b", "c d", "e"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quarantiner.New()
			requests := make(map[string]struct{})
			for i, running := range test.crashes {
				for request := range strings.FieldsSeq(running) {
					requests[request] = struct{}{}
					q.Add(quarantiner.Fingerprint(request), quarantiner.CrashID(fmt.Sprint(i)))
				}
			}
			for request := range requests {
				refused := q.Status(quarantiner.Fingerprint(request)) == quarantiner.Quarantined
				is.Equal(refused, strings.Contains(test.culprits, request))
			}
		})
	}
}

// TestAnsweredRequestIsCleared guards against the quarantine of a popular request that is
// answered all the time and was running in several crashes that others caused.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New()
	for i := range 10 {
		q.Add("popular", quarantiner.CrashID(fmt.Sprint(i)))
		is.True(q.Status("popular") != quarantiner.Quarantined)
		q.Clear("popular")
		is.Equal(q.Status("popular"), quarantiner.Clear)
	}
}

// TestRecordsConverge checks that the order in which processes learn of crashes and
// acquittals does not matter, and that nothing counts twice.
func TestRecordsConverge(t *testing.T) {
	is := is.New(t)
	first, second := quarantiner.New(), quarantiner.New()
	first.Add("g", "1")
	first.Add("a", "1")
	second.Add("g", "2")
	second.Add("a", "2")
	first.Acquit("a", "2") // The crash is not known yet.
	second.Clear("a")
	for range 2 {
		records, _ := first.Records()
		second.Merge(records)
		records, _ = second.Records()
		first.Merge(records)
	}
	for _, q := range []*quarantiner.Quarantiner{first, second} {
		is.Equal(q.Status("g"), quarantiner.Quarantined)
		is.Equal(q.State(), quarantiner.State{Suspects: 2, Quarantined: 1})
		is.Equal(q.Crashes("a"), []quarantiner.CrashID{"1"})
	}
}

// TestRetention checks that a quarantine ends an hour after the last crash.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := quarantiner.New()
		q.Add("g", "1")
		time.Sleep(30 * time.Minute)
		q.Add("g", "2")
		time.Sleep(59 * time.Minute)
		is.Equal(q.Status("g"), quarantiner.Quarantined)
		time.Sleep(2 * time.Minute)
		is.Equal(q.Status("g"), quarantiner.Clear)
		records, _ := q.Records()
		is.Equal(len(records), 0)
	})
}

// TestQuarantineSurvivesManySuspects guards against a flood of suspects that displaces a
// request which is known to crash backend servers.
func TestQuarantineSurvivesManySuspects(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New()
	q.Add("g", "1")
	q.Add("g", "2")
	for i := range 5000 {
		q.Add(quarantiner.Fingerprint(fmt.Sprint("a", i)), "3")
	}
	is.Equal(q.Status("g"), quarantiner.Quarantined)
	is.True(q.State().Suspects <= 4096)
}
