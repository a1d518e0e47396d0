package locator

import "slices"

// pageSize is the number of values in a page.
const pageSize = 128

// pages is a fixed-length slice in pages, for cheap copies: a copy shares all
// pages, and a page is copied once it is written.
type pages[T any] struct {
	list []*page[T]
	// fresh marks the pages that belong to this copy alone; nil when the
	// copy is shared itself.
	fresh []bool
}

type page[T any] [pageSize]T

func newPages[T any](length int) pages[T] {
	return pages[T]{list: make([]*page[T], (length+pageSize-1)/pageSize)}
}

// get returns the value at index, the zero value when it was never set.
func (p pages[T]) get(index int) T {
	page := p.list[index/pageSize]
	if page == nil {
		var zero T
		return zero
	}
	return page[index%pageSize]
}

// edit returns a copy that set may be called on.
func (p pages[T]) edit() pages[T] {
	return pages[T]{list: slices.Clone(p.list), fresh: make([]bool, len(p.list))}
}

// seal ends the changes of a copy that edit returned.
func (p *pages[T]) seal() {
	p.fresh = nil
}

func (p *pages[T]) set(index int, value T) {
	number := index / pageSize
	if !p.fresh[number] {
		p.list[number] = clonePage(p.list[number])
		p.fresh[number] = true
	}
	p.list[number][index%pageSize] = value
}

func clonePage[T any](old *page[T]) *page[T] {
	if old == nil {
		return new(page[T])
	}
	clone := *old
	return &clone
}
