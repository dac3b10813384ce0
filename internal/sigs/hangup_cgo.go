//go:build cgo

package sigs

// void sigs_restore_hangup(void);
import "C"

// restoreHangup restores the action of SIGHUP that the process has inherited.
func restoreHangup() { C.sigs_restore_hangup() }
