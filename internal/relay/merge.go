package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record. What remains of a body after its last whole record is not a record.
const recordBytes = 16

// mergeTop returns the top greatest records of all bodies, the greatest first. Equal records all count.
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
