package service

import "strings"

// hopByHop are the header fields that belong to one connection (RFC 9110,
// 7.6.1) or that the codec writes itself.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"host", "content-length", "expect",
}

// ConnectionFields returns the fields that are not passed on: the fixed ones
// and those that Connection names. Lower-case names.
func ConnectionFields(header []Header) map[string]bool {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, h := range header {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			drop[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// printable reports whether s can stand in a request line. A space or line end
// would begin another request behind ours.
func printable(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// token reports whether s is a method name.
func token(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }) < 0
}
