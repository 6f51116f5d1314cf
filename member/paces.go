package member

import "time"

// Paces are how often a daemon does what it does again and again; the limits of
// its calls follow from them. None, or a Count below it, is as the defaults say.
type Paces struct {
	Session time.Duration
	Watch   time.Duration
	Seek    time.Duration
	Feel    time.Duration
	Look    time.Duration
	Count   time.Duration
}

var defaultPaces = Paces{Session: 200 * time.Millisecond, Watch: 800 * time.Millisecond, Seek: 20 * time.Millisecond, Feel: 200 * time.Millisecond,
	Look: 250 * time.Millisecond, Count: 50 * time.Millisecond}

// filled has the defaults of what was left open.
func (paces Paces) filled() Paces {
	for given, usual := range map[*time.Duration]time.Duration{&paces.Session: defaultPaces.Session, &paces.Watch: defaultPaces.Watch, &paces.Seek: defaultPaces.Seek,
		&paces.Feel: defaultPaces.Feel, &paces.Look: defaultPaces.Look, &paces.Count: defaultPaces.Count} {
		if *given == 0 {
			*given = usual
		}
	}
	return paces
}

// ask is how long a short answer is waited for, seek one of who leads, and
// fetch one with a body.
func (paces Paces) ask() time.Duration   { return 2 * paces.Session }
func (paces Paces) seek() time.Duration  { return paces.Seek * 15 / 2 }
func (paces Paces) fetch() time.Duration { return 5 * paces.ask() }

// still is the silence of this process's own pulse that means it stood still.
func (paces Paces) still() time.Duration { return max(stillSpan, 4*paces.Feel) }
