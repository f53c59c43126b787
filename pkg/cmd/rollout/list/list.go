// Package list is the command `pollenspindle rollout list`: it shows the roll-outs
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

	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

const (
	timeout  = 3 * time.Second
	maxBytes = 1 << 20
)

// ErrUnanswered means that the instance didn't answer.
var ErrUnanswered = merry.Sentinel("the instance didn't answer on its metrics address")

// Options is what the command needs.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Output

	Metrics string `help:"Metrics address of an instance." required:"" placeholder:"HOST:PORT"`
}

// NewCmdList returns the command.
func NewCmdList(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `Each instance shows the stage and the share of requests that it sends to the
new version. Counts, verdict and reason are those of all instances at the one that
decides, which the column "decides" marks; elsewhere they are the instance's own.

Examples:
  pollenspindle rollout list --metrics 10.1.0.19:7200
  pollenspindle rollout list --metrics 10.1.0.19:7200 --json`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return listRun(ctx, o) }

func listRun(ctx context.Context, o *Options) error {
	shown, err := fetch(ctx, o.Metrics)
	if err != nil {
		return err
	}
	table := cmdutil.Table{Heading: []string{"service", "to", "stage", "share", "age", "new failed", "old failed", "left", "decides", "reason"}}
	for _, s := range shown {
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
	return o.Print(o.Factory.Streams, shown, table)
}

func fetch(ctx context.Context, address string) ([]rolloutpeer.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/rollouts", nil)
	if err != nil {
		return nil, merry.Wrap(ErrUnanswered, merry.WithCause(err))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, merry.Wrap(ErrUnanswered, merry.WithCause(err))
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, merry.Wrap(ErrUnanswered, merry.AppendMessagef("status %d", res.StatusCode))
	}
	var shown []rolloutpeer.Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBytes)).Decode(&shown); err != nil {
		return nil, merry.Wrap(ErrUnanswered, merry.WithCause(err))
	}
	return shown, nil
}
