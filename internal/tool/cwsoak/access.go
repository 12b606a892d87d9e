package cwsoak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// workspaces are the workspaces of a soak. Callers are assigned to all but the last one in
// turn; the last one is used for the soak's own checks, and its key is never revoked.
var workspaces = []string{"north", "south", "east", soakWorkspace}

const (
	soakWorkspace = "soak"
	// limitedWorkspace is the only workspace with a quota.
	limitedWorkspace = "east"
	// revisionsPerRevocation is the number of desired states after which the next key
	// is revoked.
	revisionsPerRevocation = 3
)

// Bounds in the settings of the instances.
const (
	// KeyRevocationBound is the time after the revocation of a key from which no
	// statement may run with it.
	KeyRevocationBound = 3 * time.Second
	// QuotaWindow, QuotaOverage and QuotaSlack define how precisely quotas are
	// enforced; see cwcatalogue.QuotaTolerance.
	QuotaWindow  = 5 * time.Second
	QuotaOverage = 0.1
	QuotaSlack   = 20
)

// limitedQuota is well below the rate at which the callers of its workspace send.
var limitedQuota = cwcatalogue.Quota{Rate: 15, Burst: 10}

// access holds the keys of the workspaces and the operations of limitedWorkspace.
type access struct {
	// keyless is true if callers need no keys.
	keyless bool

	mu sync.Mutex
	// current is the valid key of each workspace.
	current map[string]string
	// revokedAt is when the desired state without a key was acknowledged.
	revokedAt map[string]time.Time
	// sentAt and doneAt are when each successful operation of limitedWorkspace was sent
	// and answered, with the same indexes.
	sentAt, doneAt []time.Time
}

func newAccess(keyless bool) *access {
	a := &access{keyless: keyless, current: make(map[string]string), revokedAt: make(map[string]time.Time)}
	for _, w := range workspaces {
		a.current[w] = w + "-key-0"
	}
	return a
}

// workspaceOf returns the workspace of a caller.
func workspaceOf(caller int) string { return workspaces[caller%(len(workspaces)-1)] }

// currentKey returns the valid key of a workspace; empty if no keys are used.
func (a *access) currentKey(workspace string) string {
	if a.keyless {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current[workspace]
}

// nextKeys returns the keys of each workspace in a desired state, and the keys that it
// revokes. Every revisionsPerRevocation revisions, the key of the next workspace is
// replaced.
func (a *access) nextKeys(revision int) (keys map[string][]string, revoked []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision%revisionsPerRevocation == 0 {
		w := workspaceOf(revision / revisionsPerRevocation)
		revoked = append(revoked, a.current[w])
		a.current[w] = fmt.Sprintf("%s-key-%d", w, revision)
	}
	keys = make(map[string][]string)
	for w, k := range a.current {
		keys[w] = []string{k}
	}
	return keys, revoked
}

// recordRevoked records that a desired state without these keys was acknowledged now.
func (a *access) recordRevoked(keys []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range keys {
		a.revokedAt[k] = time.Now()
	}
}

// checkKey checks that the key of a statement that ran was not revoked more than
// KeyRevocationBound before the statement was sent.
func (env *environment) checkKey(key string, sent time.Time) {
	env.access.mu.Lock()
	at, ok := env.access.revokedAt[key]
	env.access.mu.Unlock()
	if late := sent.Sub(at); ok && late > KeyRevocationBound {
		env.ledger.addViolation(RevokedKeyAccepted, "a statement ran that was sent %v after its key was revoked", late)
	}
}

// countOperation records a successful operation if its workspace has a quota.
func (a *access) countOperation(workspace string, sent time.Time) {
	if workspace != limitedWorkspace {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt, a.doneAt = append(a.sentAt, sent), append(a.doneAt, time.Now())
}

// checkWorkspaces checks that the targets ran each statement for the workspace of its
// caller, and that limitedWorkspace stayed within its quota in each window.
func (env *environment) checkWorkspaces() {
	if env.access.keyless {
		return
	}
	for _, g := range env.groups {
		for _, ran := range g.CallerCommands() {
			digits, _, _ := strings.Cut(strings.TrimPrefix(ran.ID, "c"), "-")
			caller, err := strconv.Atoi(digits)
			if err == nil && ran.Workspace != workspaceOf(caller) {
				env.ledger.addViolation(WrongWorkspace, "statement %s ran for workspace %q", ran.ID, ran.Workspace)
			}
		}
	}
	a := env.access
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := (limitedQuota.Rate*QuotaWindow.Seconds()+limitedQuota.Burst)*(1+QuotaOverage) + QuotaSlack
	for _, from := range a.sentAt {
		n := 0
		for i, sent := range a.sentAt {
			if !sent.Before(from) && !a.doneAt[i].After(from.Add(QuotaWindow)) {
				n++
			}
		}
		if float64(n) > limit {
			env.ledger.addViolation(QuotaExceeded, "%d operations in one window, %.0f allowed", n, limit)
			return
		}
	}
}
