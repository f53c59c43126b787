package member

import "github.com/ansel1/merry/v2"

// ErrPool means that the worker pool could not be started.
var ErrPool = merry.Sentinel("worker pool of the member not started")

var (
	errSender   = merry.Sentinel("call names another instance as its sender")
	errTooMany  = merry.Sentinel("too many permits in one release")
	errNoConfig = merry.Sentinel("configuration not available")
	errNoRoster = merry.Sentinel("roster not available")
)
