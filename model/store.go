package model

import "container/list"

// store keeps copies by key and drops those that were used longest ago.
type store struct {
	most  int
	order *list.List // of copied, the one used last in front
	at    map[string]*list.Element
}

type copied struct {
	key     string
	version int
	size    int
}

func newStore(most int) *store {
	return &store{most: most, order: list.New(), at: map[string]*list.Element{}}
}

func (s *store) get(key string) (copied, bool) {
	el := s.at[key]
	if el == nil {
		return copied{}, false
	}
	s.order.MoveToFront(el)
	return el.Value.(copied), true
}

func (s *store) has(key string) bool { return s.at[key] != nil }

func (s *store) put(c copied) {
	if el := s.at[c.key]; el != nil {
		el.Value = c
		s.order.MoveToFront(el)
		return
	}
	s.at[c.key] = s.order.PushFront(c)
	for s.most > 0 && s.order.Len() > s.most {
		s.drop(s.order.Back().Value.(copied).key)
	}
}

func (s *store) drop(key string) {
	if el := s.at[key]; el != nil {
		s.order.Remove(el)
		delete(s.at, key)
	}
}
