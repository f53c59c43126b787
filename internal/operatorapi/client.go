package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"pollenspindle.example/pollenspindle/internal/httpclient"
)

const (
	dialTimeout = 3 * time.Second
	// responseTimeout is longer than a change takes while the platform is slow, so that its outcome
	// is usually still received.
	responseTimeout = 20 * time.Second
	// maxResponseBytes limits a response; the largest is a history of large changes.
	maxResponseBytes = 64 << 20
)

// Client calls the operator API of an entry instance. It is safe for concurrent use.
type Client struct {
	http    *httpclient.Client
	address string
	token   string
}

// NewClient returns a client of the instance whose operators' listener has address, host:port.
func NewClient(address, token string) *Client {
	opts := httpclient.Options{DialTimeout: dialTimeout, WriteTimeout: responseTimeout, MaxResponseBytes: maxResponseBytes}
	return &Client{http: httpclient.New(opts), address: address, token: token}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var out Configuration
	err := c.call(ctx, consts.MethodGet, "/config", nil, &out)
	return out, err
}

// Apply replaces the configuration.
func (c *Client) Apply(ctx context.Context, change ApplyRequest) (ChangeResult, error) {
	var out ChangeResult
	err := c.call(ctx, consts.MethodPut, "/config", change, &out)
	return out, err
}

// InForce counts the instances that have at least version in force.
func (c *Client) InForce(ctx context.Context, version int64) (InForce, error) {
	var out InForce
	err := c.call(ctx, consts.MethodGet, "/config/inForce?version="+strconv.FormatInt(version, 10), nil, &out)
	return out, err
}

// History returns at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var out History
	err := c.call(ctx, consts.MethodGet, "/config/history?limit="+strconv.Itoa(limit), nil, &out)
	return out, err
}

// DrainZone takes an availability zone out of service.
func (c *Client) DrainZone(ctx context.Context, zone string, change ChangeRequest) (ChangeResult, error) {
	return c.change(ctx, "/zones/"+url.PathEscape(zone)+"/drain", change)
}

// RestoreZone puts an availability zone back into service.
func (c *Client) RestoreZone(ctx context.Context, zone string, change ChangeRequest) (ChangeResult, error) {
	return c.change(ctx, "/zones/"+url.PathEscape(zone)+"/restore", change)
}

// Servers lists the backend servers.
func (c *Client) Servers(ctx context.Context) (Servers, error) {
	var out Servers
	err := c.call(ctx, consts.MethodGet, "/servers", nil, &out)
	return out, err
}

// DrainServer stops sending new requests to a backend server, which finishes the running ones.
func (c *Client) DrainServer(ctx context.Context, server string, change ChangeRequest) (ChangeResult, error) {
	return c.change(ctx, "/servers/"+url.PathEscape(server)+"/drain", change)
}

// RestoreServer resumes sending new requests to a backend server.
func (c *Client) RestoreServer(ctx context.Context, server string, change ChangeRequest) (ChangeResult, error) {
	return c.change(ctx, "/servers/"+url.PathEscape(server)+"/restore", change)
}

// Instances lists the entry instances.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	var out Instances
	err := c.call(ctx, consts.MethodGet, "/instances", nil, &out)
	return out, err
}

// LeaveInstance starts the graceful shutdown of the instance that the client is connected to; name
// must be that instance's.
func (c *Client) LeaveInstance(ctx context.Context, name string) error {
	return c.call(ctx, consts.MethodPost, "/instances/"+url.PathEscape(name)+"/leave", ChangeRequest{}, nil)
}

// Generation returns the state and history of a generation.
func (c *Client) Generation(ctx context.Context, id string) (Generation, error) {
	var out Generation
	err := c.call(ctx, consts.MethodGet, "/generations/"+url.PathEscape(id), nil, &out)
	return out, err
}

// CancelGeneration cancels a generation and frees its KV cache.
func (c *Client) CancelGeneration(ctx context.Context, id string) error {
	return c.call(ctx, consts.MethodDelete, "/generations/"+url.PathEscape(id), nil, nil)
}

// LoadModel commands a backend server to load a model.
func (c *Client) LoadModel(ctx context.Context, model string, command EngineCommand) (EngineCommandResult, error) {
	var out EngineCommandResult
	err := c.call(ctx, consts.MethodPost, "/models/"+url.PathEscape(model)+"/load", command, &out)
	return out, err
}

// LogLevel returns the instance's log level.
func (c *Client) LogLevel(ctx context.Context) (LogLevel, error) {
	var out LogLevel
	err := c.call(ctx, consts.MethodGet, "/logLevel", nil, &out)
	return out, err
}

// SetLogLevel changes the instance's log level while it runs.
func (c *Client) SetLogLevel(ctx context.Context, level LogLevel) error {
	return c.call(ctx, consts.MethodPut, "/logLevel", level, nil)
}

func (c *Client) change(ctx context.Context, path string, change ChangeRequest) (ChangeResult, error) {
	var out ChangeResult
	err := c.call(ctx, consts.MethodPost, path, change, &out)
	return out, err
}

// call sends in unless it is nil and decodes the response into out unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	req.SetMethod(method)
	req.Header.SetHost(c.address)
	req.SetRequestURI(Prefix + path)
	req.Header.Set(consts.HeaderAuthorization, "Bearer "+c.token)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return merry.Prepend(err, "encode request")
		}
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+responseTimeout)
	defer cancel()
	resp, err := c.http.Do(ctx, c.address, req, httpclient.Call{SingleUse: true})
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Close()
	if status := resp.StatusCode(); status >= consts.StatusMultipleChoices {
		return responseError(status, resp.Bytes())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Bytes(), out); err != nil {
		return merry.Append(ErrInvalidResponse, err.Error())
	}
	return nil
}

// transportError returns ErrUnreachable if nothing can have changed, since the call was a query or
// the connection was not established, and otherwise ErrNoResponse.
func transportError(method string, err error) error {
	if method == consts.MethodGet || errors.Is(err, httpclient.ErrNotSent) {
		return merry.Append(ErrUnreachable, err.Error())
	}
	return merry.Append(ErrNoResponse, err.Error())
}

func responseError(status int, body []byte) error {
	var failure Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Error.Code == "" {
		return merry.Appendf(ErrInvalidResponse, "status %d", status)
	}
	return &Error{Status: status, FailureDetail: failure.Error}
}
