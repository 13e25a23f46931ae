package operatorfile

import (
	"github.com/sirupsen/logrus"

	"mintspring/internal/config/tomlfile"
)

// Log configures the format and the level of the node's log.
type Log struct {
	Format string `toml:"format"` // "text" or "json"
	Level  string `toml:"level"`  // "debug", "info", "warning" or "error"
}

const (
	formatText      = "text"
	formatJSON      = "json"
	defaultLevel    = "info"
	timestampFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Check validates the section, if it is present, and fills in the defaults.
func (l *Log) Check(source *tomlfile.File) error {
	if l == nil {
		return nil
	}
	switch l.Format {
	case "":
		l.Format = formatText
	case formatText, formatJSON:
	default:
		return source.FieldErrorf("log.format", "%q is neither text nor json", l.Format)
	}
	if l.Level == "" {
		l.Level = defaultLevel
	}
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		return source.FieldErrorf("log.level", "%q is not debug, info, warning or error", l.Level)
	}
	return nil
}

// Apply configures a logger as the section says. Without the section it writes text at level info and above.
func (l *Log) Apply(log *logrus.Logger) {
	format, level := formatText, logrus.InfoLevel
	if l != nil {
		format = l.Format
		level, _ = logrus.ParseLevel(l.Level) // Check has parsed it
	}
	if format == formatJSON {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	} else {
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
	}
	log.SetLevel(level)
}
