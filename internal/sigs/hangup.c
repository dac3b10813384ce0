//go:build cgo

#include <signal.h>
#include <stddef.h>

// inherited is the action of SIGHUP with which the process was started.
static struct sigaction inherited;

// Ignores SIGHUP before the Go runtime and the initialization of packages start, during which its default action would end the process.
__attribute__((constructor)) static void ignore_hangup(void)
{
	struct sigaction ignore = {.sa_handler = SIG_IGN};
	sigaction(SIGHUP, &ignore, &inherited);
}

void sigs_restore_hangup(void)
{
	sigaction(SIGHUP, &inherited, NULL);
}
