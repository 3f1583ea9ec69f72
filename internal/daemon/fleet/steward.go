package fleet

import "context"

// steward keeps machines in pools and maintains them.
func (d *Daemon) steward(ctx context.Context) { <-ctx.Done() }
