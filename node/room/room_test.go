package room

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// However takes, waits and returns follow one another, no more is held than there is, all comes back, and who waits gets its
// turn before those who come after.
func TestRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		most := int64(rapid.IntRange(1, 20).Draw(rt, "most"))
		sizes := rapid.SliceOfN(rapid.Int64Range(1, 25), 1, 30).Draw(rt, "sizes")
		patient := rapid.SliceOfN(rapid.Bool(), len(sizes), len(sizes)).Draw(rt, "patient")
		synctest.Test(t, func(t *testing.T) {
			r := New(most)
			for i, n := range sizes {
				go func() {
					ok := false
					if patient[i] {
						ok = r.Wait(n, time.Second)
					} else {
						ok = r.Take(n)
					}
					if ok && n > most {
						t.Errorf("%d of %d were given", n, most)
					}
					if ok {
						time.Sleep(100 * time.Millisecond)
						if r.Held() > most {
							t.Errorf("%d of %d are held", r.Held(), most)
						}
						r.Give(n)
					}
				}()
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Minute)
			if n := r.Held(); n != 0 {
				t.Errorf("%d are not given back", n)
			}
		})
	})
}

func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(10)
		r.Take(8)
		got := make(chan int, 3)
		for i, n := range []int64{9, 2, 2} {
			go func() {
				if r.Wait(n, time.Second) {
					got <- i
					time.Sleep(10 * time.Millisecond)
					r.Give(n)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		if r.Take(1) {
			t.Error("taken before those who wait")
		}
		r.Give(8)
		if first := <-got; first != 0 {
			t.Errorf("%d came first", first)
		}
		time.Sleep(time.Minute)
		if len(got) != 2 || r.Held() != 0 {
			t.Errorf("%d more came, %d are held", len(got), r.Held())
		}
	})
}
