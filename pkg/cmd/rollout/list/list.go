// Package list implements the command `pollenspindle rollout list`: it lists the rollouts
// that an instance takes part in.
//
// # Usage
//
//	options := list.NewCmdList(factory)
//	err := options.Run(ctx)
package list

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/httptransport"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

const (
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 1 << 20
)

// ErrNoResponse means that the instance gave no usable response on its metrics address.
var ErrNoResponse = merry.Sentinel("no usable response from the instance's metrics address")

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Output

	Metrics string `help:"Metrics address of an instance." required:"" placeholder:"HOST:PORT"`
}

// NewCmdList returns the command.
func NewCmdList(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The stage and the share of requests sent to the new version are those of the
instance. Counts, verdict and reason cover all instances if the instance is the
rollout's coordinator (column "decides"), and only the instance itself otherwise.

Examples:
  pollenspindle rollout list --metrics 10.1.0.19:7200
  pollenspindle rollout list --metrics 10.1.0.19:7200 --json`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return listRun(ctx, o) }

func listRun(ctx context.Context, o *Options) error {
	statuses, err := fetch(ctx, o.Metrics)
	if err != nil {
		return err
	}
	table := cmdutil.Table{Heading: []string{"service", "to", "stage", "share", "age", "new failed", "old failed", "left", "decides", "reason"}}
	for _, s := range statuses {
		reason := s.Reason
		if reason == "" {
			reason = s.WaitReason
		}
		table.Rows = append(table.Rows, []string{
			s.Service, s.To, s.Stage, strconv.FormatFloat(s.Share, 'f', 2, 64), (time.Duration(s.AgeMs) * time.Millisecond).String(),
			fmt.Sprintf("%d of %d", s.Failed, s.Answers), fmt.Sprintf("%d of %d", s.OldFailed, s.OldAnswers),
			strconv.Itoa(s.Remaining), strconv.FormatBool(s.Coordinator), reason,
		})
	}
	return o.Print(o.Factory.Streams, statuses, table)
}

func fetch(ctx context.Context, address string) ([]rolloutpeer.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/rollouts", nil)
	if err != nil {
		return nil, merry.Wrap(ErrNoResponse, merry.WithCause(err))
	}
	transport := httptransport.Transport{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}}
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return nil, merry.Wrap(ErrNoResponse, merry.WithCause(err))
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, merry.Wrap(ErrNoResponse, merry.AppendMessagef("status %d", res.StatusCode))
	}
	var statuses []rolloutpeer.Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&statuses); err != nil {
		return nil, merry.Wrap(ErrNoResponse, merry.WithCause(err))
	}
	return statuses, nil
}
