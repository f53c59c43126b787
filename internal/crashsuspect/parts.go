package crashsuspect

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCrashes is the number of crashes from which on a part of prompts is suspected. Parts that only
	// run beside the cause seldom have two without an answer in between.
	partCrashes = 2
	// failedTrials is the number of crashes in trials after which a part is refused: an engine may crash for
	// another reason once.
	failedTrials = 2
	// maxPartCrashes is the number of crashes after which requests with several such parts aren't tried any
	// more.
	maxPartCrashes = 7
	// keptPartCrashes is the number of crashes that are kept of a part.
	keptPartCrashes = 16
)

// retrialAfter is how long after its last crash a refused part may be tried once more: engines may have
// crashed for another reason in all of its trials. After that it stays refused.
const retrialAfter = 5 * time.Second

// PartKey returns the key of a part of prompts for a service, in the place of a fingerprint.
func PartKey(service, part string) uint64 {
	return xxhash.Sum64String("part\n" + service + "\n" + strings.ToLower(part))
}

// CheckPart returns whether requests with a part may run. A suspected part may run in one trial at a time,
// over all instances.
//
// An engine that crashes leaves all parts of the requests that wait or have begun there suspect. Runs that get
// past that point clear their parts, so that only a part under which each engine crashes stays suspect; see
// [Progress].
func (t *Table) CheckPart(now time.Time, key uint64) Verdict {
	e, ok := t.entries[key]
	if !ok || t.expired(now, e.Entry) {
		return Clear
	}
	crashes := e.Uncleared()
	if len(crashes) < partCrashes || t.countOfUnexplained(e) == 0 {
		return Clear
	}
	failed := t.failedTrials(e)
	if failed < failedTrials || failed == failedTrials && now.Sub(crashes[len(crashes)-1].At) >= retrialAfter {
		return Suspected
	}
	return Refused
}

// failedTrials returns the number of trials of a part in which a server crashed, without those that the other
// suspected part explains that explains most of them: requests with that part may have waited at the same
// servers. Two parts that explain a trial each aren't enough, since some sound part waits at each server, nor is
// a part under which no server has crashed without this one.
func (t *Table) failedTrials(e *record) int {
	var trials, all []string
	for _, c := range e.Uncleared() {
		all = append(all, c.Name)
		if c.Trial {
			trials = append(trials, c.Name)
		}
	}
	if len(trials) == 0 {
		return 0
	}
	explained := 0
	for at := t.active.Front(); at != nil; at = at.Next() {
		other := at.Value.(*record)
		if !other.Part || other.Fingerprint == e.Fingerprint || other.uncleared() < partCrashes {
			continue
		}
		if other.countOf(all) < other.uncleared() {
			explained = max(explained, other.countOf(trials))
		}
	}
	return len(trials) - explained
}

// countOfUnexplained returns the number of crashes that count against an entry, without those that are blamed
// on a part that has failed its trials: whatever else ran on those servers isn't the cause.
func (t *Table) countOfUnexplained(e *record) int {
	n := e.uncleared()
	if n == 0 || t.isCause(e) {
		return n
	}
	if t.blamed == nil {
		t.blame()
	}
	for _, c := range e.Crashes {
		if !c.Cleared && t.blamed[c.Name] {
			n--
		}
	}
	return n
}

// blame finds the crashes under parts that have failed their trials.
func (t *Table) blame() {
	t.blamed = map[string]bool{}
	for at := t.active.Front(); at != nil; at = at.Next() {
		e := at.Value.(*record)
		if !t.isCause(e) {
			continue
		}
		for _, c := range e.Uncleared() {
			t.blamed[c.Name] = true
		}
	}
}

// isCause reports whether a part has failed its trials.
func (t *Table) isCause(e *record) bool {
	return e.Part && e.FailedTrials() >= failedTrials && t.failedTrials(e) >= failedTrials
}

// IsCause reports whether a part has failed its trials, so that crashes count for no other part.
func (t *Table) IsCause(key uint64) bool {
	e, ok := t.entries[key]
	return ok && t.isCause(e)
}

// IsExcused reports whether a part would be suspected, if its crashes weren't blamed on another one.
func (t *Table) IsExcused(key uint64) bool {
	e, ok := t.entries[key]
	return ok && e.uncleared() >= partCrashes && t.countOfUnexplained(e) == 0
}

// FailedTrials returns the number of trials in which servers crashed.
func (e *Entry) FailedTrials() int {
	n := 0
	for _, c := range e.Crashes {
		if c.Trial && !c.Cleared {
			n++
		}
	}
	return n
}

// countOf returns how many of the named crashes count against an entry.
func (e *Entry) countOf(names []string) int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Cleared && slices.Contains(names, c.Name) {
			n++
		}
	}
	return n
}

// refusedInterval is the minimum time between two records that a part is still refused.
const refusedInterval = 10 * time.Second

// RecordRefused keeps the entry of a refused part for another retention time, as requests with it still come.
func (t *Table) RecordRefused(now time.Time, key uint64) {
	if e, ok := t.entries[key]; ok && now.Sub(e.RefusedAt) >= refusedInterval {
		e.RefusedAt = now
		t.reposition(e)
	}
}

// Untryable reports whether requests in which a part is one of several suspected ones mustn't be tried any
// more: a trial doesn't tell which of them is the cause.
func (t *Table) Untryable(key uint64) bool {
	e, ok := t.entries[key]
	return ok && e.uncleared() >= maxPartCrashes
}

// Get returns the entry of a fingerprint or a part.
func (t *Table) Get(key uint64) (Entry, bool) {
	e, ok := t.entries[key]
	if !ok {
		return Entry{}, false
	}
	return e.clone(), true
}

// keptRefusalPrecision limits how often an entry that [Table.Kept] returns changes as requests are refused.
const keptRefusalPrecision = time.Minute

// Kept returns the entries of requests that are refused and of parts that mustn't run freely, at most n, the
// last changed first.
func (t *Table) Kept(now time.Time, n int) []Entry {
	var out []Entry
	for at := t.active.Front(); at != nil && len(out) < n; at = at.Next() {
		e := at.Value.(*record)
		if t.restricted(now, e) {
			kept := e.clone()
			kept.RefusedAt = kept.RefusedAt.Truncate(keptRefusalPrecision)
			out = append(out, kept)
		}
	}
	return out
}

// restricted reports whether requests with an entry mustn't run freely.
func (t *Table) restricted(now time.Time, e *record) bool {
	if e.Part {
		return t.CheckPart(now, e.Fingerprint) != Clear
	}
	return t.Check(now, e.Fingerprint) == Refused
}

// Digest returns a digest of the entries that [Table.Kept] returns, 0 if there are none. Instances with the same
// digest have nothing to tell each other.
func (t *Table) Digest(now time.Time) uint64 {
	var sum uint64
	for at := t.active.Front(); at != nil; at = at.Next() {
		e := at.Value.(*record)
		if !t.restricted(now, e) {
			continue
		}
		digest := xxhash.New()
		_, _ = digest.WriteString(strconv.FormatUint(e.Fingerprint, 16))
		for _, c := range e.Uncleared() {
			_, _ = digest.WriteString("\n" + c.Name + strconv.FormatBool(c.Trial))
		}
		sum += digest.Sum64()
	}
	return sum
}

// RefusedParts returns the entries of parts that are refused, at most n.
func (t *Table) RefusedParts(now time.Time, n int) []Entry {
	var out []Entry
	for key, e := range t.entries {
		if len(out) < n && e.Part && t.CheckPart(now, key) == Refused {
			out = append(out, e.clone())
		}
	}
	return out
}
