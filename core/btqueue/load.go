package btqueue

import "time"

// Load is the target's actual load, sent with heartbeats and refusals.
type Load struct {
	Slots      int `cbor:"slots" json:"slots"`
	Running    int `cbor:"running" json:"running"`
	QueueLimit int `cbor:"queue" json:"queue"`
	Waiting    int `cbor:"waiting" json:"waiting"`
	// Wait is the expected time until all requests that wait now have started.
	Wait     time.Duration `cbor:"wait" json:"wait"`
	Draining bool          `cbor:"draining" json:"draining"`
}

// Load returns the load at the time of the last step.
func (q *Queue) Load() Load {
	return Load{
		Slots:      q.slots,
		Running:    len(q.running),
		QueueLimit: q.queueLimit,
		Waiting:    q.queue.count,
		Wait:       q.expectedWait(q.now, q.queue.cost),
		Draining:   q.draining,
	}
}
