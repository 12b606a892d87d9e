package cwsoak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// The workspaces of a soak. Callers belong to the first ones in turn; the last one
// is the soak's own and keeps its key.
var workspaces = []string{"north", "south", "east", ownWorkspace}

const (
	ownWorkspace = "soak"
	// limited is the workspace with a quota.
	limited = "east"
	// takeEvery is with how many desired states a key is taken away.
	takeEvery = 3
)

// Bounds that the settings of instances tell.
const (
	// KeyBound is how soon nothing may run with a key that was taken away.
	KeyBound = 3 * time.Second
	// QuotaWindow, QuotaOverage and QuotaSlack are how exactly quotas are kept.
	QuotaWindow  = 5 * time.Second
	QuotaOverage = 0.1
	QuotaSlack   = 20
)

// limitedQuota is well below what the callers of its workspace send.
var limitedQuota = cwcatalogue.Quota{Rate: 15, Burst: 10}

// access is the keys of the workspaces.
type access struct {
	// none is true if callers need no keys.
	none bool

	mu sync.Mutex
	// now has the good key of each workspace, taken when the desired state without
	// a key was acknowledged.
	now   map[string]string
	taken map[string]time.Time
	// allowed are the times at which operations of the limited workspace were sent
	// that succeeded by the time that done has.
	allowed, done []time.Time
}

func newAccess(keyless bool) *access {
	a := &access{none: keyless, now: make(map[string]string), taken: make(map[string]time.Time)}
	for _, w := range workspaces {
		a.now[w] = w + "-key-0"
	}
	return a
}

// workspaceOf returns the workspace of a caller.
func workspaceOf(caller int) string { return workspaces[caller%(len(workspaces)-1)] }

func (a *access) key(workspace string) string {
	if a.none {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now[workspace]
}

// next returns the keys of a desired state, and those that it takes away.
func (a *access) next(revision int) (keys map[string][]string, gone []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision%takeEvery == 0 {
		w := workspaceOf(revision / takeEvery)
		gone = append(gone, a.now[w])
		a.now[w] = fmt.Sprintf("%s-key-%d", w, revision)
	}
	keys = make(map[string][]string)
	for w, k := range a.now {
		keys[w] = []string{k}
	}
	return keys, gone
}

// took notes that a desired state without these keys was acknowledged.
func (a *access) took(keys []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range keys {
		a.taken[k] = time.Now()
	}
}

// checkKey checks that a statement which was sent at a time and ran had a key that
// was good enough.
func (w *world) checkKey(key string, sent time.Time) {
	w.access.mu.Lock()
	at, ok := w.access.taken[key]
	w.access.mu.Unlock()
	if late := sent.Sub(at); ok && late > KeyBound {
		w.ledger.fail(Revoked, "a statement ran that was sent %v after its key was taken away", late)
	}
}

// count notes an operation of a workspace that succeeded.
func (a *access) count(workspace string, sent time.Time) {
	if workspace != limited {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed, a.done = append(a.allowed, sent), append(a.done, time.Now())
}

// checkAccess checks for whom the targets ran each statement, and how many
// operations of the limited workspace ran in each window.
func (w *world) checkAccess() {
	if w.access.none {
		return
	}
	for _, g := range w.groups {
		for _, ran := range g.Contexts() {
			digits, _, _ := strings.Cut(strings.TrimPrefix(ran.ID, "c"), "-")
			caller, err := strconv.Atoi(digits)
			if err == nil && ran.Workspace != workspaceOf(caller) {
				w.ledger.fail(Misbooked, "%s ran for %q", ran.ID, ran.Workspace)
			}
		}
	}
	a := w.access
	a.mu.Lock()
	defer a.mu.Unlock()
	most := (limitedQuota.Rate*QuotaWindow.Seconds()+limitedQuota.Burst)*(1+QuotaOverage) + QuotaSlack
	for _, from := range a.allowed {
		n := 0
		for i, sent := range a.allowed {
			if !sent.Before(from) && !a.done[i].After(from.Add(QuotaWindow)) {
				n++
			}
		}
		if float64(n) > most {
			w.ledger.fail(OverQuota, "%d operations in one window, %.0f allowed", n, most)
			return
		}
	}
}
