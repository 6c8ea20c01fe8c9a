package logring

import "go.uber.org/zap/zapcore"

// InstanceLogger is the name of the logger whose lines tell how the instance itself
// is doing. They are reserved lines, as are warnings and errors.
const InstanceLogger = "instance"

// core writes an entry to one of two cores.
type core struct {
	zapcore.Core
	reserved zapcore.Core
}

// NewCore returns a core that writes lines at level or above to a ring.
func NewCore(encoder zapcore.Encoder, ring *Ring, level zapcore.Level) zapcore.Core {
	return &core{zapcore.NewCore(encoder, ring, level), zapcore.NewCore(encoder, ring.Reserved(), level)}
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{c.Core.With(fields), c.reserved.With(fields)}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.LoggerName == InstanceLogger || e.Level >= zapcore.WarnLevel {
		return c.reserved.Check(e, checked)
	}
	return c.Core.Check(e, checked)
}
