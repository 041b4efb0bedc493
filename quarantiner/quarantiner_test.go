package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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
		crashes []string
		// culprits holds those that are refused by complete evidence, and partial those
		// by partial evidence.
		culprits, partial string
	}{
		"one crash":                      {[]string{"g a b"}, "", ""},
		"alone twice":                    {[]string{"g", "g"}, "g", "g"},
		"alone once":                     {[]string{"g", "g a"}, "g", ""},
		"alone once of three":            {[]string{"g a", "g a", "g"}, "g", "g"},
		"beside others":                  {[]string{"g a b", "g c d"}, "g", ""},
		"beside others, three times":     {[]string{"g a b", "g c d", "g e"}, "g", "g"},
		"together twice":                 {[]string{"g a", "g a"}, "", ""},
		"beside one, three times":        {[]string{"g a", "g a b", "g b c"}, "g", ""},
		"beside one, four times":         {[]string{"g a", "g a b", "g b c", "g b"}, "g", "g"},
		"two culprits":                   {[]string{"g a", "h a", "g", "h"}, "g h", ""},
		"two culprits, once more":        {[]string{"g a", "h a", "g", "h", "g", "h"}, "g h", "g h"},
		"beside two culprits each twice": {[]string{"g a", "h a", "g a", "h a", "g", "h"}, "g h", "g h"},
		"always together":                {[]string{"g a", "g a", "g a", "g a"}, "a", "a"},
		"different requests":             {[]string{"a b", "c d", "e"}, "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for evidence, culprits := range map[quarantiner.Evidence]string{
				quarantiner.Complete: test.culprits, quarantiner.Partial: test.partial,
			} {
				q := quarantiner.New(evidence)
				requests := make(map[string]struct{})
				for i, running := range test.crashes {
					for request := range strings.FieldsSeq(running) {
						requests[request] = struct{}{}
						q.Add(quarantiner.Fingerprint(request), quarantiner.CrashID(fmt.Sprint(i)))
					}
				}
				for request := range requests {
					refused := q.Status(quarantiner.Fingerprint(request)) == quarantiner.Quarantined
					is.Equal(refused, strings.Contains(culprits, request))
				}
			}
		})
	}
}

// TestFourCrashesAreEnough guards against a request that crashes backend servers being sent
// on because others were running in all of its crashes.
func TestFourCrashesAreEnough(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for range 1000 {
		is := is.New(t)
		q := quarantiner.New(quarantiner.Partial)
		refused := false
		for crash := range 4 {
			for _, other := range random.Perm(6)[:random.IntN(6)] {
				q.Add(quarantiner.Fingerprint(fmt.Sprint("a", other)), quarantiner.CrashID(fmt.Sprint(crash)))
			}
			q.Add("0", quarantiner.CrashID(fmt.Sprint(crash)))
			refused = q.Status("0") == quarantiner.Quarantined
		}
		is.True(refused)
	}
}

// TestAnsweredRequestIsCleared guards against the quarantine of a popular request that is
// answered all the time and was running in several crashes that others caused.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Complete)
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
	first, second := quarantiner.New(quarantiner.Complete), quarantiner.New(quarantiner.Complete)
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
		q := quarantiner.New(quarantiner.Complete)
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

// TestClearedCrashesLeaveRoom guards against a request being sent on without end after eight
// crashes that do not count against it.
func TestClearedCrashesLeaveRoom(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Partial)
	for i := range 20 {
		q.Add("g", quarantiner.CrashID(fmt.Sprint("cleared", i)))
		q.Clear("g")
	}
	for i := range 4 {
		q.Add("g", quarantiner.CrashID(fmt.Sprint(i)))
		q.Add(quarantiner.Fingerprint(fmt.Sprint("a", i)), quarantiner.CrashID(fmt.Sprint(i)))
	}
	is.Equal(q.Status("g"), quarantiner.Quarantined)
	is.Equal(q.Crashes("g"), []quarantiner.CrashID{"0", "1", "2", "3"})
}

// TestRoomConverges checks that processes which learn of many crashes in different orders keep
// the same ones.
func TestRoomConverges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	records := make([]quarantiner.Record, 0, 30)
	for i := range cap(records) {
		records = append(records, quarantiner.Record{
			Fingerprint: "g", Crash: quarantiner.CrashID(fmt.Sprint(i)), At: now.Add(-time.Duration(i) * time.Second),
			Cleared: i%4 == 0,
		})
	}
	var want []quarantiner.Record
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		q := quarantiner.New(quarantiner.Partial)
		for _, r := range records {
			q.Merge([]quarantiner.Record{r})
		}
		kept, _ := q.Records()
		if want == nil {
			want = kept
		}
		is.Equal(kept, want)
	}
}

// TestQuarantineSurvivesManySuspects guards against a flood of suspects that displaces a
// request which is known to crash backend servers.
func TestQuarantineSurvivesManySuspects(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Complete)
	q.Add("g", "1")
	q.Add("g", "2")
	for i := range 5000 {
		q.Add(quarantiner.Fingerprint(fmt.Sprint("a", i)), "3")
	}
	is.Equal(q.Status("g"), quarantiner.Quarantined)
	is.True(q.State().Suspects <= 4096)
}

// TestClearedNewcomers guards against a flood of answered requests that displaces requests which
// may have caused a crash.
func TestClearedNewcomers(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Partial)
	q.Merge(newRecords("a", 4096, false))
	q.Merge(newRecords("b", 5000, true))
	is.Equal(q.State().Suspects, 4096)
}

// newRecords returns records of one crash for n requests.
func newRecords(crash quarantiner.CrashID, n int, cleared bool) []quarantiner.Record {
	records := make([]quarantiner.Record, 0, n)
	for i := range n {
		records = append(records, quarantiner.Record{
			Fingerprint: quarantiner.Fingerprint(fmt.Sprint(crash, i)), Crash: crash, At: time.Now(), Cleared: cleared,
		})
	}
	return records
}

// TestImportantRecordsComeFirst guards against an entry that shares the newest records only, so
// that a request which is quarantined elsewhere is let pass after a restart.
func TestImportantRecordsComeFirst(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Partial)
	q.Add("g", "1")
	q.Add("g", "2")
	q.Merge(newRecords("a", 2000, true))
	q.Merge(newRecords("b", 2000, false))
	records, _ := q.Records()
	is.Equal(records[0].Fingerprint, quarantiner.Fingerprint("g"))
	is.Equal(records[1].Fingerprint, quarantiner.Fingerprint("g"))
	for i, r := range records {
		is.Equal(r.Cleared, i >= 2002)
	}
}

// TestCertainCulpritExplainsFirst guards against the refusal of a popular request that was running
// beside one with so many crashes that it is refused whatever else was running in them, because others
// explain as many crashes of the one as of the other.
func TestCertainCulpritExplainsFirst(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Partial)
	for fingerprint, crashes := range map[quarantiner.Fingerprint][]int{
		"a popular": {2, 9, 10, 15, 16},
		"culprit 0": {2, 10, 11},
		"culprit 1": {1, 10, 12},
		"culprit 2": {1, 9, 10},
		"culprit 3": {3, 10, 11, 13, 14},
		"culprit 4": {3, 10, 11},
		"culprit 5": {1, 3, 9, 10, 15, 16},
	} {
		for _, crash := range crashes {
			q.Add(fingerprint, quarantiner.CrashID(strconv.Itoa(crash)))
		}
	}
	is.Equal(q.Status("culprit 5"), quarantiner.Quarantined)
	is.True(q.Status("a popular") != quarantiner.Quarantined)
}
