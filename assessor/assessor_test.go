package assessor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
)

var drafting = carawaybeam.Class{ID: "drafting", Targets: carawaybeam.Targets{
	FirstToken: time.Second, Completed: 10 * time.Second, Completion: 0.9,
}}

func TestRequestIsMeasuredAgainstTargets(t *testing.T) {
	tests := []struct {
		name   string
		result assessor.Result
		met    int
	}{
		{"in time", assessor.Result{Answered: true, FirstToken: time.Second, Took: 10 * time.Second}, 1},
		{
			"late first token",
			assessor.Result{Answered: true, FirstToken: 1001 * time.Millisecond, Took: 2 * time.Second},
			0,
		},
		{"late answer", assessor.Result{Answered: true, FirstToken: time.Second, Took: 10001 * time.Millisecond}, 0},
		{"first token unknown", assessor.Result{Answered: true, Took: 9 * time.Second}, 1},
		{"refused", assessor.Result{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := assessor.New()
			a.Assess(time.Now(), drafting, test.result)
			state := a.State(time.Now())
			is.Equal(len(state), 1)
			is.Equal(state[0].Counts, assessor.Counts{Requests: 1, Met: test.met})
		})
	}
}

func TestStandingChangesWithTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assessor.New()
		met := assessor.Result{Answered: true, FirstToken: time.Millisecond, Took: time.Second}
		for range 9 {
			a.Assess(time.Now(), drafting, met)
		}
		began := time.Now()
		time.Sleep(20 * time.Second)
		a.Assess(time.Now(), drafting, assessor.Result{Quarantined: true})
		state := a.State(time.Now())[0]
		is.Equal(state.Standing, assessor.StandingInTarget) // 9 of 10
		is.True(state.Since.Equal(began))
		is.Equal(state.Quarantined, 1)
		time.Sleep(time.Second)
		a.Assess(time.Now(), drafting, assessor.Result{})
		missed := time.Now()
		time.Sleep(10 * time.Second)
		state = a.State(time.Now())[0]
		is.Equal(state.Standing, assessor.StandingMissed) // 9 of 11
		is.True(state.Since.Equal(missed))
		// All requests left the window long before the next call of State. Since
		// is still the time when the last one left.
		time.Sleep(time.Hour)
		state = a.State(time.Now())[0]
		is.Equal(state.Standing, assessor.StandingIdle)
		is.Equal(state.Counts, assessor.Counts{})
		is.True(state.Since.Equal(missed.Add(assessor.Window)))
	})
}

func TestClassesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assessor.New()
		fill := func(first rune) {
			for i := range rune(2000) {
				a.Assess(time.Now(), carawaybeam.Class{ID: carawaybeam.ClassID(string(first + i))}, assessor.Result{})
			}
		}
		fill(0x1000)
		is.Equal(len(a.State(time.Now())), 1024)
		time.Sleep(2 * assessor.Window)
		fill(0x3000)
		states := a.State(time.Now())
		is.Equal(len(states), 1024)
		is.Equal(states[0].Class, carawaybeam.ClassID(rune(0x3000))) // idle classes were removed to make room
	})
}
