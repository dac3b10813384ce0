package strict

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// blockBytes is the size of the blocks that a body is read into.
const blockBytes = 16 << 10

var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// blocks holds the bytes of a body that have arrived. It grows by blocks, so that a long body is not copied while it is read and takes little more
// memory than what has arrived.
type blocks struct {
	all []*[blockBytes]byte
	// size is the number of bytes in all blocks, of which only the last may be partly filled.
	size int
}

// readFrom reads until r ends or limit bytes were read, and returns their number.
func (b *blocks) readFrom(r io.Reader, limit int64) (read int64, err error) {
	for read < limit {
		used := b.size % blockBytes
		if used == 0 && b.size == len(b.all)*blockBytes {
			b.all = append(b.all, blockPool.Get().(*[blockBytes]byte))
		}
		free := b.all[len(b.all)-1][used:]
		n, err := r.Read(free[:min(int64(len(free)), limit-read)])
		b.size += n
		read += int64(n)
		if err == io.EOF {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// copyTo makes the bytes the body of the response. A long body gets a slice of its own, since the library would keep the buffer of the response for
// other responses.
func (b *blocks) copyTo(response *fasthttp.Response) {
	switch len(b.all) {
	case 0:
		return
	case 1:
		response.SetBody(b.all[0][:b.size])
		return
	}
	whole := make([]byte, 0, b.size)
	for i, block := range b.all {
		whole = append(whole, block[:min(blockBytes, b.size-i*blockBytes)]...)
	}
	response.SetBodyRaw(whole)
}

// release returns the blocks to the pool.
func (b *blocks) release() {
	for _, block := range b.all {
		blockPool.Put(block)
	}
	b.all = nil
}
