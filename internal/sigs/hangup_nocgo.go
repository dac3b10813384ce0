//go:build !cgo

package sigs

// restoreHangup has nothing to restore: without cgo, SIGHUP keeps its inherited action until New.
func restoreHangup() {}
