package hangup

/*
#include <signal.h>

// Constructors run before the Go runtime, which keeps an ignored SIGHUP ignored until Notify.
__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
