package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// errNoInstance means that no instance returned a list and none is cached.
var errNoInstance = merry.Sentinel("no instance responded")

const (
	listTimeout = 2 * time.Second
	// minListTTL limits how often the list is requested when its TTL is missing or very short.
	minListTTL = 200 * time.Millisecond
)

// directory caches the addresses of the instances for one bearer token. It requests the list
// from any instance and keeps it until its TTL expires.
type directory struct {
	http  *httpclient.Client
	token string

	mu        sync.Mutex
	cached    []string
	expiresAt time.Time
}

// instanceList is the response body of GET /v1/instances.
type instanceList struct {
	Instances []struct {
		Address string `json:"address"`
	} `json:"instances"`
	TTLSeconds int `json:"ttlSeconds"`
}

// addresses returns the addresses of the instances in the order to try them. If no instance
// responds, it returns the expired list.
func (d *directory) addresses(ctx context.Context, now time.Time, seeds []string) ([]string, error) {
	d.mu.Lock()
	cached, fresh := d.cached, now.Before(d.expiresAt)
	d.mu.Unlock()
	if fresh {
		return cached, nil
	}
	for _, address := range append(append([]string{}, cached...), seeds...) {
		list, err := d.fetchList(ctx, address)
		if err != nil || len(list.Instances) == 0 {
			continue
		}
		return d.storeList(now, list), nil
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, merry.Wrap(errNoInstance)
}

func (d *directory) storeList(now time.Time, list instanceList) []string {
	addresses := make([]string, 0, len(list.Instances))
	for _, in := range list.Instances {
		addresses = append(addresses, in.Address)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cached = addresses
	d.expiresAt = now.Add(max(time.Duration(list.TTLSeconds)*time.Second, minListTTL))
	return addresses
}

func (d *directory) fetchList(ctx context.Context, address string) (instanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r := newRequest(http.MethodGet, address, "/v1/instances", d.token)
	defer protocol.ReleaseRequest(r)
	resp, err := d.http.Do(ctx, address, r, httpclient.Call{FreshConnection: true})
	if err != nil {
		return instanceList{}, err
	}
	defer resp.Close()
	var list instanceList
	if resp.StatusCode() != http.StatusOK {
		return list, merry.Errorf("status %d", resp.StatusCode())
	}
	return list, json.Unmarshal(resp.Bytes(), &list)
}

func newRequest(method, address, path, token string) *protocol.Request {
	r := protocol.AcquireRequest()
	r.SetMethod(method)
	r.Header.SetHost(address)
	r.SetRequestURI(path)
	r.Header.Set("Authorization", "Bearer "+token)
	return r
}
