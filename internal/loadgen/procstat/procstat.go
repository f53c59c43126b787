// Package procstat reads the CPU time and memory of processes from /proc.
//
// # Usage
//
//	before, err := procstat.Read(pid)
//	// a run
//	after, err := procstat.Read(pid)
//	used := after.CPU - before.CPU
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnreadable means that /proc is unavailable or the process has exited.
var ErrUnreadable = merry.Sentinel("process statistics unreadable")

// Stat holds the resource usage of a process.
type Stat struct {
	// CPU is the user and system time since the process started.
	CPU time.Duration
	// RSSBytes is the resident memory.
	RSSBytes int64
}

const (
	// clockTick is the unit of CPU times in /proc: 100 Hz on Linux for all programs.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat after the command name.
	fieldUser   = 11
	fieldSystem = 12
	fieldRSS    = 21
)

// Read reads the statistics of a process.
func Read(pid int) (Stat, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Stat{}, merry.Wrap(ErrUnreadable, merry.WithCause(err))
	}
	return parse(data)
}

// parse parses the contents of /proc/PID/stat. The command name, in parentheses, may contain
// spaces and parentheses itself.
func parse(data []byte) (Stat, error) {
	end := bytes.LastIndexByte(data, ')')
	fields := bytes.Fields(data[end+1:])
	if end < 0 || len(fields) <= fieldRSS {
		return Stat{}, merry.Wrap(ErrUnreadable)
	}
	user, err1 := strconv.ParseInt(string(fields[fieldUser]), 10, 64)
	system, err2 := strconv.ParseInt(string(fields[fieldSystem]), 10, 64)
	pages, err3 := strconv.ParseInt(string(fields[fieldRSS]), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Stat{}, merry.Wrap(ErrUnreadable)
	}
	return Stat{
		CPU:      time.Duration(user+system) * clockTick,
		RSSBytes: pages * int64(os.Getpagesize()),
	}, nil
}
