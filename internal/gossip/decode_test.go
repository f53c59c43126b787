package gossip

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

var fuzzStart = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// addMessageSeeds adds messages with odd values.
func addMessageSeeds(f *testing.F) {
	f.Helper()
	const deep = 10_001
	f.Add([]byte(`{"versions":[{"version":3,"mark":1},{"version":3,"answeringAge":5},{},{}],"from":1,"least":2,"changes":[{"id":"a","server":{"ID":"a","Service":"llm"}},{"id":"b"}]}`))
	f.Add([]byte(`{"versions":[{},{"version":9223372036854775807,"heardAge":-9223372036854775808,"readAge":9223372036854775807}],"whole":true,"servers":[{"ID":"a","ColdFor":9223372036854775807,"Slots":-1}]}` + "\n" + `{"ID":"b"}`))
	f.Add([]byte(`{"rollouts":[{"Name":"desk","Duration":-9223372036854775808,"Stage":99}],"zones":["",""],"least":-1}`))
	f.Add([]byte(`{"records":[{"id":"a","peer":"x","started":9223372036854775807,"change":-1},{"id":"self"}],"suspects":[{"fingerprint":7,"crashes":[{"name":"","at":"9999-12-31T23:59:59Z"}]}],"instances":-1}`))
	f.Add([]byte(`{"update":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `}`))
	f.Add([]byte(`{"instances":18446744073709551616}`))
	f.Add([]byte("{\"from\":\"\xff\"}"))
}

// apply applies an update twice and requires that what is then known can be sent to others.
func apply(t *testing.T, u *platformstate.Update) {
	t.Helper()
	state := platformstate.NewState()
	state.EnableRollouts()
	for i := range 2 {
		now := fuzzStart.Add(time.Duration(i) * time.Second)
		state.Apply(now, u)
		state.Sweep(now)
		out, _ := state.UpdateSince(now, 1)
		_, err := json.Marshal(&out)
		require.NoError(t, err)
		_, err = packSnapshot(now, state)
		require.NoError(t, err)
	}
}

func FuzzUnpackSnapshot(f *testing.F) {
	addMessageSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		u, err := unpackSnapshot(bytes.NewReader(raw))
		if err != nil {
			require.ErrorIs(t, err, ErrFetch)
			return
		}
		apply(t, u)
	})
}

func FuzzMessage(f *testing.F) {
	addMessageSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m Message
		if json.Unmarshal(raw, &m) != nil {
			return
		}
		table := membership.NewTable(membership.Record{ID: "self", Peer: "10.0.0.1:7200"})
		table.Merge(fuzzStart, m.Records)
		table.RecordCount(fuzzStart, m.Instances)
		table.LimitShare(fuzzStart.Add(time.Second))
		suspects := crashsuspect.NewTable(crashsuspect.DefaultParams)
		suspects.Merge(fuzzStart, m.Suspects)
		out := Message{Records: table.All(fuzzStart), Suspects: suspects.Newest(fuzzStart, 10)}
		_, err := json.Marshal(&out)
		require.NoError(t, err)
		if m.Update != nil {
			apply(t, m.Update)
		}
	})
}
