package connlimit

import "syscall"

// Descriptors returns the number of descriptors that the process may open, at most limit unless that is 0.
func Descriptors(limit int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur > maxDescriptors {
		r.Cur = maxDescriptors
	}
	if limit > 0 {
		return min(limit, int(r.Cur))
	}
	return int(r.Cur)
}

// maxDescriptors stands for a limit that isn't known, or that is none.
const maxDescriptors = 1 << 20
