package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an LRU cache of prompt prefixes in steps of cacheBlockBytes. A block
// is keyed by the hash of the whole prompt up to its end. The zero value, with
// maxBlocks set, is ready for use; maxBlocks 0 disables it.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	recency   list.List
	hits      int
	misses    int
}

// lookup returns how many bytes from the start of the prompt are cached, and caches all
// blocks of the prompt.
func (p *prefixCache) lookup(prompt string) int {
	if p.maxBlocks <= 0 {
		return 0
	}
	if p.blocks == nil {
		p.blocks = map[uint64]*list.Element{}
	}
	cached, matching := 0, true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		element := p.blocks[hash]
		if element != nil {
			p.recency.MoveToFront(element)
			p.hits++
		} else {
			p.misses++
			p.insert(hash)
		}
		matching = matching && element != nil
		if matching {
			cached = end
		}
	}
	return cached
}

// insert adds a block and evicts the least recently used one if the cache is full.
func (p *prefixCache) insert(hash uint64) {
	p.blocks[hash] = p.recency.PushFront(hash)
	if p.recency.Len() <= p.maxBlocks {
		return
	}
	oldest := p.recency.Back()
	delete(p.blocks, p.recency.Remove(oldest).(uint64))
}
