package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// The names of objects in the platform. docs/design/configuration.md explains the layout.
const (
	// kind is the kind of the head and of the records of changes. Instances watch it.
	kind = "config"
	// baseKind is the kind of the chunks of bases. It is not watched, so that a new base isn't
	// sent to every instance.
	baseKind = "configBase"
	headName = "head"
	// recordPrefix is the prefix of the names of records: change.<number>.<token>.
	recordPrefix = "change."
)

// The errors of this package.
var (
	// ErrInvalid means that a configuration or one of its parts is not valid.
	ErrInvalid = merry.Sentinel("invalid configuration")
	// ErrNotAccepted means that a change was certainly not accepted.
	ErrNotAccepted = merry.Sentinel("change not accepted")
	// ErrAcceptanceUnknown means that the platform's response was lost and further attempts
	// failed: the change may have been accepted.
	ErrAcceptanceUnknown = merry.Sentinel("not known whether the change was accepted")
	// ErrOlder means that the platform or a peer returned an older version than the active one;
	// it was not applied.
	ErrOlder = merry.Sentinel("older version than the one in force")
	// ErrUnreadable means that the configuration could not be read.
	ErrUnreadable = merry.Sentinel("configuration not readable")
)

// ConflictError means that the configuration changed after the version that a change was made
// from. The change was not accepted.
type ConflictError struct {
	BaseVersion    int64
	CurrentVersion int64
	// Since holds the changes after BaseVersion whose records still exist, newest first.
	Since []Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("the configuration is at version %d, the change was made from version %d", e.CurrentVersion, e.BaseVersion)
	for _, entry := range e.Since {
		s += fmt.Sprintf("; version %d by %s: %s (%s)", entry.Version, entry.Author, entry.Summary, strings.Join(entry.Changed, ", "))
	}
	return s
}

// head is the value of the head object. A change is accepted by the conditional update of it.
type head struct {
	// Number counts accepted changes.
	Number int64 `json:"number"`
	// Record names the record of the newest change. The name contains a random token, by which an
	// applier recognizes its own change.
	Record string `json:"record"`
	Base   base   `json:"base"`
}

// base names a copy of all parts as of one change, stored in chunks.
type base struct {
	Number int64  `json:"number"`
	Prefix string `json:"prefix"`
	Chunks int    `json:"chunks"`
}

func (b base) chunkName(i int) string {
	return fmt.Sprintf("%s.%04d", b.Prefix, i)
}

// record is one change. It is written once, before the head names it, and never modified. Records
// form a chain through Previous.
type record struct {
	Number   int64     `json:"number"`
	Author   string    `json:"author"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
	Previous string    `json:"previous"`
	// PreviousVersion is the version of the head that named Previous.
	PreviousVersion int64    `json:"previousVersion"`
	Puts            parts    `json:"puts,omitempty"`
	Removed         []string `json:"removed,omitempty"`
	// InBase means that the change is too large for a record: Puts and Removed are empty, and the
	// base of the head holds the result.
	InBase bool `json:"inBase,omitempty"`
	// Changed names the parts that were put or removed, at most maxChangedNames of them.
	Changed []string `json:"changed"`
}

// maxChangedNames limits the names of changed parts that a record shows to operators.
const maxChangedNames = 50

func changedNames(puts parts, removed []string) []string {
	names := slices.Concat(slices.Collect(maps.Keys(puts)), removed)
	slices.Sort(names)
	return names[:min(len(names), maxChangedNames)]
}

func recordName(number int64, token string) string {
	return fmt.Sprintf("%s%012d.%s", recordPrefix, number, token)
}

// numberOf returns the number in the name of a record or of a base's chunk; 0 if there is none.
func numberOf(name string) int64 {
	fields := strings.Split(name, ".")
	if len(fields) < 3 {
		return 0
	}
	n, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Entry is one accepted change, as shown to operators.
type Entry struct {
	Number  int64     `json:"number"`
	Version int64     `json:"version"`
	Author  string    `json:"author"`
	Summary string    `json:"summary"`
	At      time.Time `json:"at"`
	// Changed names the first 50 parts that were put or removed.
	Changed []string `json:"changed"`
}

// walk follows the chain of records from h back to stop or to the base and returns the records in
// order of number. If a record is not in known, missing is its name and walk has to be repeated
// with it.
//
// reached reports that the chain led to stop: the records then apply to the state whose record is
// stop, otherwise to the base.
func walk(h head, stop string, known map[string]record) (records []record, reached bool, missing string) {
	for name := h.Record; ; {
		if name == stop {
			slices.Reverse(records)
			return records, true, ""
		}
		r, ok := known[name]
		if !ok && numberOf(name) > h.Base.Number {
			return nil, false, name
		}
		if !ok || r.InBase {
			break
		}
		records = append(records, r)
		name = r.Previous
	}
	records = slices.DeleteFunc(records, func(r record) bool { return r.Number <= h.Base.Number })
	slices.Reverse(records)
	return records, false, ""
}

// historyEntries returns the newest n changes at h, newest first, up to the first whose record is
// not in known.
func historyEntries(h head, version int64, known map[string]record, n int) []Entry {
	var list []Entry
	for name := h.Record; len(list) < n; {
		r, ok := known[name]
		if !ok {
			break
		}
		list = append(list, Entry{Number: r.Number, Version: version, Author: r.Author, Summary: r.Summary, At: r.At, Changed: r.Changed})
		name, version = r.Previous, r.PreviousVersion
	}
	return list
}

// addRecord decodes o and adds it to known if it is a record.
func addRecord(known map[string]record, o objectapi.Object) {
	if !strings.HasPrefix(o.Name, recordPrefix) {
		return
	}
	var r record
	if json.Unmarshal(o.Value, &r) == nil {
		known[o.Name] = r
	}
}
