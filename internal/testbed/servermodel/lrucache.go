package servermodel

import "container/list"

// lruCache stores objects by key and evicts the least recently used.
type lruCache struct {
	capacity int        // 0: no limit
	order    *list.List // of cachedObject, most recently used first
	elements map[string]*list.Element
}

// cachedObject is a cached copy of one version of a value.
type cachedObject struct {
	key     string
	version int
	size    int // bytes of the value
}

// value returns the value that the object stands for.
func (o cachedObject) value() string { return valueOf(o.key, o.version, o.size) }

func newLRUCache(capacity int) *lruCache {
	return &lruCache{capacity: capacity, order: list.New(), elements: map[string]*list.Element{}}
}

// get returns an object and marks it as the most recently used.
func (c *lruCache) get(key string) (object cachedObject, found bool) {
	element := c.elements[key]
	if element == nil {
		return cachedObject{}, false
	}
	c.order.MoveToFront(element)
	return element.Value.(cachedObject), true
}

// contains reports whether a key is cached, without marking its object as used.
func (c *lruCache) contains(key string) bool { return c.elements[key] != nil }

// put stores an object, replaces any with the same key, and evicts objects beyond the capacity.
func (c *lruCache) put(object cachedObject) {
	if element := c.elements[object.key]; element != nil {
		element.Value = object
		c.order.MoveToFront(element)
		return
	}
	c.elements[object.key] = c.order.PushFront(object)
	for c.capacity > 0 && c.order.Len() > c.capacity {
		c.remove(c.order.Back().Value.(cachedObject).key)
	}
}

// remove deletes the object of a key, if there is one.
func (c *lruCache) remove(key string) {
	if element := c.elements[key]; element != nil {
		c.order.Remove(element)
		delete(c.elements, key)
	}
}
