package cwcatalogue

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func namedEntry(name, group string, aim time.Duration) Entry {
	return Entry{Service: name, Groups: []Group{{Name: group}}, Contract: Contract{Aim: aim}}
}

func TestTable(t *testing.T) {
	a, b, c := namedEntry("a", "g", time.Second), namedEntry("b", "g", time.Second), namedEntry("c", "h", time.Minute)
	table := NewEntryTable(a, b, c)
	for _, want := range []Entry{a, b, c} {
		got, ok := table.Entry(want.Service)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	_, ok := table.Entry("")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, table.Len(), qt.Equals, 3)
	qt.Assert(t, table.Templates(), qt.HasLen, 2)
	table.Add(namedEntry("a", "h", time.Minute))
	got, _ := table.Entry("a")
	qt.Assert(t, got.Groups[0].Name, qt.Equals, "h")
	qt.Assert(t, table.Len(), qt.Equals, 3)
	var none *EntryTable
	_, ok = none.Entry("a")
	qt.Assert(t, ok || none.Len() > 0 || none.Templates() != nil, qt.IsFalse)
}

// BenchmarkEntryTable reports the heap in bytes of 20,000 entries in 40 groups, as
// a map of entries and as an EntryTable.
func BenchmarkEntryTable(b *testing.B) {
	const entries, groups = 20_000, 40
	for name, build := range map[string]func() any{
		"one by one": func() any {
			all := make(map[string]Entry, entries)
			for i := range entries {
				e := namedEntry(strconv.Itoa(i), strconv.Itoa(i%groups), time.Second)
				all[e.Service] = e
			}
			return all
		},
		"table": func() any {
			t := &EntryTable{}
			for i := range entries {
				t.Add(namedEntry(strconv.Itoa(i), strconv.Itoa(i%groups), time.Second))
			}
			return t
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				kept := build()
				b.ReportMetric(float64(heapInUse()-before), "heapBytes")
				runtime.KeepAlive(kept)
			}
		})
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
