package servermodel

// windowSlots is the number of time slots that a window is divided into.
const windowSlots = 24

// slidingWindow sums offered work over a sliding window of time. It also sums the part that nodes could have avoided sending.
type slidingWindow struct {
	length        float64 // ms
	slotNumber    [windowSlots]int64
	totalWork     [windowSlots]float64
	avoidableWork [windowSlots]float64
}

func newSlidingWindow(length float64) slidingWindow {
	w := slidingWindow{length: length}
	for i := range w.slotNumber {
		w.slotNumber[i] = -1
	}
	return w
}

// add adds work, in core-ms, and returns the sums over the window that ends now.
func (w *slidingWindow) add(now, work float64, isAvoidable bool) (totalWork, avoidableWork float64) {
	number := int64(now / w.length * windowSlots)
	slot := int(number % windowSlots)
	if w.slotNumber[slot] != number {
		w.slotNumber[slot], w.totalWork[slot], w.avoidableWork[slot] = number, 0, 0
	}
	w.totalWork[slot] += work
	if isAvoidable {
		w.avoidableWork[slot] += work
	}
	for i := range w.slotNumber {
		if w.slotNumber[i] > number-windowSlots {
			totalWork += w.totalWork[i]
			avoidableWork += w.avoidableWork[i]
		}
	}
	return totalWork, avoidableWork
}
