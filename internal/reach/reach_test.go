package reach

import (
	"slices"
	"testing"
	"time"
)

// Guards against a node that takes slow, single or old failures for lost links, and against one that forgets that it has lost them.
func TestReach(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(age time.Duration) time.Time { return now.Add(-age) }
	up := func(l *Link) { l.Reached(now) }
	down := func(l *Link) { l.Failed(now) }
	silent := func(l *Link) {
		l.Reached(at(2 * silenceLimit))
		l.Sent(at(silenceLimit))
		l.Sent(now)
	}
	slow := func(l *Link) { l.Reached(at(silenceLimit)); l.Sent(at(silenceLimit / 2)) }
	old := func(l *Link) { l.Failed(at(evidenceWindow)); l.Sent(at(evidenceWindow)) }
	connected := func(l *Link) { l.Failed(at(time.Second)); l.Connected(now) }
	broken := func(l *Link) { l.Connected(at(time.Millisecond)); l.Broke(at(time.Millisecond)); l.Connected(now) }
	swallowed := func(l *Link) { silent(l); l.Connected(now) }
	lone := func(l *Link) {
		sentAt := at(time.Second)
		l.Reached(at(1500 * time.Millisecond))
		l.Sent(sentAt)
		l.GaveUp(sentAt.Add(silenceLimit/3), sentAt)
	}
	late := func(l *Link) {
		sentAt := at(time.Second)
		l.Reached(at(1500 * time.Millisecond))
		l.Sent(sentAt)
		l.GaveUp(sentAt.Add(silenceLimit), sentAt)
	}
	probed := func(l *Link) { l.Probed(now, true) }
	unprobed := func(l *Link) { l.Probed(now, false) }
	healed := func(l *Link) {
		l.Reached(at(5 * time.Second))
		l.Sent(at(4 * time.Second))
		l.Broke(at(3 * time.Second))
		l.Connected(at(time.Second))
		l.Sent(now)
	}
	none := func(*Link) {}
	tests := map[string]struct {
		links    []func(*Link)
		previous Reach
		want     Reach
		wantLow  bool
	}{
		"all reached":                         {links: []func(*Link){up, up, up, up}, want: Of(1)},
		"one of four lost":                    {links: []func(*Link){up, up, up, down}, want: Of(0.75)},
		"all lost":                            {links: []func(*Link){down, down, down}, want: Of(0), wantLow: true},
		"all silent":                          {links: []func(*Link){silent, silent, silent, silent}, want: Of(0), wantLow: true},
		"slow":                                {links: []func(*Link){up, up, slow}, want: Of(1)},
		"connection refused after a reply":    {links: []func(*Link){func(l *Link) { l.Reached(at(time.Second)); l.Failed(now) }, down, down}, want: Of(0), wantLow: true},
		"single requests given up early":      {links: []func(*Link){up, lone, lone, lone}, want: Of(1)},
		"requests given up late":              {links: []func(*Link){late, late, late}, want: Of(0), wantLow: true},
		"probes reach, no requests":           {links: append(slices.Repeat([]func(*Link){probed}, minProbes), slices.Repeat([]func(*Link){none}, 20)...), want: Of(1)},
		"probes fail, no requests":            {links: append(slices.Repeat([]func(*Link){unprobed}, minProbes), slices.Repeat([]func(*Link){none}, 20)...), want: Of(0), wantLow: true},
		"probes reach again, low before":      {links: append(slices.Repeat([]func(*Link){probed}, minProbes), slices.Repeat([]func(*Link){none}, 20)...), previous: Of(0), want: Of(1)},
		"lost long ago, connected now":        {links: []func(*Link){healed, healed, healed}, want: Of(1)},
		"new connections break":               {links: []func(*Link){broken, broken, broken}, want: Of(0), wantLow: true},
		"new connections only":                {links: []func(*Link){connected, connected, connected}, want: Of(1)},
		"silent behind new connections":       {links: []func(*Link){swallowed, swallowed, swallowed}, want: Of(0), wantLow: true},
		"too few of many":                     {links: append([]func(*Link){down, down, down}, slices.Repeat([]func(*Link){none}, 12)...), want: Unknown},
		"a few of very many":                  {links: append(slices.Repeat([]func(*Link){down}, maxEvidence), slices.Repeat([]func(*Link){none}, 1000)...), want: Of(0), wantLow: true},
		"too few":                             {links: []func(*Link){down, down}, want: Unknown},
		"no evidence":                         {links: []func(*Link){none, none, none}, want: Unknown},
		"old evidence":                        {links: []func(*Link){old, old, old}, want: Unknown},
		"no evidence any more, low before":    {previous: Of(0.1), want: Of(0.1), wantLow: true},
		"no evidence any more, high before":   {previous: Of(0.9), want: Unknown},
		"reached again, low before":           {links: []func(*Link){up, up, up}, previous: Of(0.1), want: Of(1)},
		"lost long ago, others reached again": {links: []func(*Link){old, up, up, up}, previous: Of(0), want: Of(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sample Sample
			for _, record := range test.links {
				link := &Link{}
				record(link)
				sample.Add(now, link)
			}
			got := sample.Reach(test.previous)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got.Low() != test.wantLow {
				t.Errorf("low: got %v, want %v", got.Low(), test.wantLow)
			}
		})
	}
}

// Guards against nodes that all leave the directory because the searchers themselves are down.
func TestBelowOthers(t *testing.T) {
	tests := map[string]struct {
		own, best Reach
		want      bool
	}{
		"only this node lost its links":  {own: Of(0), best: Of(1), want: true},
		"all lost a third":               {own: Of(0.66), best: Of(0.67)},
		"all lost all":                   {own: Of(0), best: Of(0)},
		"searchers down, others as well": {own: Of(0.3), best: Of(0.4)},
		"others unknown":                 {own: Of(0), best: Unknown},
		"own unknown":                    {own: Unknown, best: Of(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.own.BelowOthers(test.best); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
