package slopes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/loadgen/procstat"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	processServers = 200
	// processSettle is the time for all to be in the roster, processFor that
	// for which they are measured.
	processSettle = 8 * time.Second
	processFor    = 6 * time.Second
	startLimit    = 30 * time.Second
	outageFor     = 6 * time.Second
)

var processSizes = []int{3, 7, 14, 28, 48}

// processes measures idle entry instances as real processes on loopback. They
// have 200 declared backend servers, which don't exist: the load polls fail
// and cost little.
func processes(ctx context.Context, opts Options) ([]Series, error) {
	out := []Series{
		{What: "idle entry instance", Unit: "% of a core", Over: "instances", Size: fullInstances},
		{What: "idle entry instance, resident memory", Unit: "MB", Over: "instances", Size: fullInstances},
		{What: "of it anonymous, without the program's own pages", Unit: "MB", Over: "instances", Size: fullInstances},
		{What: "idle entry instance, bytes sent to peers", Unit: "bytes/s", Over: "instances", Size: fullInstances},
		{What: "calls to the platform of all instances", Unit: "calls/s", Over: "instances", Size: fullInstances},
		{What: "metrics of one instance", Unit: "series", Over: "instances", Size: fullInstances},
		{What: "instances that take new work, 6 s into an outage of the platform", Unit: "% of them", Over: "instances", Size: fullInstances},
	}
	for _, n := range processSizes {
		values, err := runProcesses(ctx, opts.Binaries, n)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			out[i].Points = append(out[i].Points, Point{float64(n), v})
		}
	}
	return out, nil
}

// deployment is a platform and entry instances as processes.
type deployment struct {
	dir      string
	binaries string
	platform string
	started  []*exec.Cmd
	// instances are those of started that are entry instances.
	instances []*exec.Cmd
	operators []string
	callers   []string
}

func newDeployment(binaries string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "pollenspindle-slopes-")
	if err != nil {
		return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return &deployment{dir: dir, binaries: binaries}, nil
}

func runProcesses(ctx context.Context, binaries string, n int) ([]float64, error) {
	d, err := newDeployment(binaries)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(ctx, n, fleet(processServers, fullWorkspaces)); err != nil {
		return nil, err
	}
	if err := objectapi.Sleep(ctx, processSettle); err != nil {
		return nil, merry.Wrap(err)
	}
	values, err := d.measure(ctx, processFor)
	if err != nil {
		return nil, err
	}
	ready, err := d.withoutPlatform(ctx)
	return append(values, ready), err
}

// withoutPlatform ends the platform and returns which share of the instances
// is ready for new work when twice the time has passed after which an instance
// that can't confirm its configuration takes none.
func (d *deployment) withoutPlatform(ctx context.Context) (float64, error) {
	if err := d.started[0].Process.Kill(); err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := objectapi.Sleep(ctx, outageFor); err != nil {
		return 0, merry.Wrap(err)
	}
	ready := 0
	for _, address := range d.callers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
		if err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready++
		}
	}
	return 100 * float64(ready) / float64(len(d.callers)), nil
}

// start starts the platform with a configuration, and n instances.
func (d *deployment) start(ctx context.Context, n int, cfg pollenspindle.Config) error {
	free, err := addresses(ctx, 1+3*n)
	if err != nil {
		return err
	}
	d.platform = "http://" + free[0]
	if err := d.run(ctx, "standin", "platform", "--address", free[0], "--lag-millis", "300"); err != nil {
		return err
	}
	client := newClient(d.platform, nil)
	defer client.Close()
	ready, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		_, err := config.Apply(ready, client, config.Change{Config: cfg, Author: "slopes", Summary: "all"})
		if err == nil {
			break
		}
		if objectapi.Sleep(ready, 100*time.Millisecond) != nil {
			return merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
	}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	var list []instancelist.Instance
	for i := range n {
		s := settings.Settings{
			Instance: fmt.Sprintf("entry-%03d", i), Zone: zoneName(i), Region: regionName(i),
			CallerAddress: free[1+3*i], PeerAddress: free[2+3*i], OperatorAddress: free[3+3*i],
			PlatformURL: d.platform, PeerKey: key, GenerationKey: key,
			OperatorTokenSHA256: strings.Repeat("0", 64), Log: settings.Log{Level: "error"},
		}
		list = append(list, instancelist.Instance{
			ID: s.Instance, Address: s.CallerAddress, PeerAddress: s.PeerAddress, Zone: s.Zone, State: instancelist.StateLive,
		})
		d.operators, d.callers = append(d.operators, s.OperatorAddress), append(d.callers, s.CallerAddress)
		if err := d.startInstance(ctx, s); err != nil {
			return err
		}
	}
	return d.putInstances(ctx, list)
}

func (d *deployment) startInstance(ctx context.Context, s settings.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	path := filepath.Join(d.dir, s.Instance+".jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	if err := d.run(ctx, "pollenspindle", "serve", "--settings", path); err != nil {
		return err
	}
	d.instances = append(d.instances, d.started[len(d.started)-1])
	return nil
}

func (d *deployment) putInstances(ctx context.Context, list []instancelist.Instance) error {
	data, err := json.Marshal(map[string]any{"instances": list})
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, d.platform+"/control/instances", bytes.NewReader(data))
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	return resp.Body.Close()
}

func (d *deployment) run(ctx context.Context, program string, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(d.binaries, program), args...)
	if err := cmd.Start(); err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	d.started = append(d.started, cmd)
	return nil
}

// stop ends what was started. Nothing of it keeps anything.
func (d *deployment) stop() {
	for _, cmd := range d.started {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// reading is what was used up to a moment by all instances together.
type reading struct {
	cpu    time.Duration
	rss    int64
	anon   float64
	sent   float64
	calls  float64
	series float64
}

func (d *deployment) read(ctx context.Context) (reading, error) {
	var r reading
	for _, cmd := range d.instances {
		stat, err := procstat.Read(cmd.Process.Pid)
		if err != nil {
			return r, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		r.cpu += stat.CPU
		r.rss += stat.RSSBytes
		anon, err := anonymous(cmd.Process.Pid)
		if err != nil {
			return r, err
		}
		r.anon += anon
	}
	for _, address := range d.operators {
		if err := r.scrape(ctx, address); err != nil {
			return r, err
		}
	}
	return r, nil
}

// anonymous returns the resident bytes of a process that no file backs.
func anonymous(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024, err
		}
	}
	return 0, merry.Wrap(ErrMeasure, merry.AppendMessage("no RssAnon"))
}

// scrape adds the metrics of one instance.
func (r *reading) scrape(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		r.series++
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.Contains(line, "peer_bytes_sent"):
			r.sent += value
		case strings.Contains(line, "platform_calls"):
			r.calls += value
		}
	}
	return lines.Err()
}

// measure returns what one instance used on average during a time, in the order
// of the series of [processes].
func (d *deployment) measure(ctx context.Context, during time.Duration) ([]float64, error) {
	before, err := d.read(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := objectapi.Sleep(ctx, during); err != nil {
		return nil, merry.Wrap(err)
	}
	after, err := d.read(ctx)
	if err != nil {
		return nil, err
	}
	took, n := time.Since(start).Seconds(), float64(len(d.operators))
	return []float64{
		100 * (after.cpu - before.cpu).Seconds() / took / n,
		float64(after.rss) / n / 1e6,
		after.anon / n / 1e6,
		(after.sent - before.sent) / took / n,
		(after.calls - before.calls) / took,
		after.series / n,
	}, nil
}

// addresses returns n free addresses on loopback.
func addresses(ctx context.Context, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
		// All stay open until the last is known, so that none comes twice.
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
