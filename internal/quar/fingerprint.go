package quar

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the hash that identifies a request. Each field is preceded by its length, so that no two different requests feed
// the same bytes to the hash.
func Fingerprint(plan, collection, query string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range [...]string{plan, collection, query} {
		writeField(&digest, field)
	}
	return digest.Sum64()
}

// FormatFingerprint returns a fingerprint as log lines show it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// writeField adds the length and the bytes of a string to a hash. Writing to a Digest never fails.
func writeField(digest *xxhash.Digest, field string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(field)
}
