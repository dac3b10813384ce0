package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record. Trailing bytes of a body that do not fill a record are ignored.
const recordBytes = 16

// mergeTop returns the top greatest records of all bodies in descending order. Equal records are all kept.
func mergeTop(bodies [][]byte, top int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for len(body) >= recordBytes {
			records = append(records, body[:recordBytes])
			body = body[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	merged := make([]byte, 0, len(records)*recordBytes)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
