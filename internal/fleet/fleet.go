// Package fleet queries other entry instances on behalf of an operator, who is connected to only one
// of them, and answers the queries of other instances.
//
// A query goes to the instance that has the data: the id of a request contains the address of the
// instance that received it, and the roster names a server's owner. All instances are queried, a few
// at a time, only for a request that may have continued on another instance.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Self: id, Members: member, Peers: pool, Journal: j, ...})
//	server.HandleQueries(f.Handler())
//	records, err := f.FindRequest(ctx, "gen-...")
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/roster"
)

const (
	// queryTimeout limits one query to one instance.
	queryTimeout = time.Second
	// maxConcurrentQueries limits the concurrent queries when many instances are queried. With 350
	// instances that is 22 rounds of 1 to 2 ms each; if a whole region is unreachable, queryAllTimeout
	// ends the query.
	maxConcurrentQueries = 16
	queryAllTimeout      = 5 * time.Second
)

// Errors returned by a [Fleet].
var (
	// ErrNotFound means that no instance that responded has a record of the request.
	ErrNotFound = merry.Sentinel("request not known")
	// ErrUnreachable means that an instance that may have a record of the request didn't respond.
	ErrUnreachable = merry.Sentinel("instance gave no answer")
)

// Members provides the roster of instances; *member.Member implements it.
type Members interface {
	Roster() *roster.Roster
}

// Options configures a [Fleet].
type Options struct {
	// Self is the id of this instance.
	Self    string
	Members Members
	Peers   *peer.Pool
	Owner   *owner.Owner
	Config  func() *config.Snapshot
	Journal *journal.Journal
	Codec   *generation.Codec
}

// Fleet queries the instances of the deployment. It is safe for concurrent use.
type Fleet struct{ opts Options }

// New returns a Fleet with opts.
func New(opts Options) *Fleet { return &Fleet{opts} }

// queryAll calls query for each instance, with at most maxConcurrentQueries concurrent calls, and
// returns the number of calls that succeeded.
func queryAll(ctx context.Context, instances []roster.Instance, query func(context.Context, roster.Instance) error) int {
	ctx, cancel := context.WithTimeout(ctx, queryAllTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	succeeded := 0
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, in := range instances {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if query(ctx, in) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			succeeded++
		})
	}
	wg.Wait()
	return succeeded
}
