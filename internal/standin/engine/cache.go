package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache remembers the blocks of recent prompts, the least recently used
// going first.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  list.List
	hits   int
	misses int
}

// lookup returns how many bytes of the prompt's head are cached, and caches it.
func (p *prefixCache) lookup(prompt string) int {
	if p.limit <= 0 {
		return 0
	}
	if p.blocks == nil {
		p.blocks = map[uint64]*list.Element{}
	}
	cached, matching := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		h := xxhash.Sum64String(prompt[:end])
		x := p.blocks[h]
		if x != nil {
			p.order.MoveToFront(x)
			p.hits++
		} else {
			p.misses++
			p.insert(h)
		}
		matching = matching && x != nil
		if matching {
			cached = end
		}
	}
	return cached
}

func (p *prefixCache) insert(h uint64) {
	p.blocks[h] = p.order.PushFront(h)
	if p.order.Len() <= p.limit {
		return
	}
	oldest := p.order.Back()
	delete(p.blocks, p.order.Remove(oldest).(uint64))
}
