package telemetry

import (
	"context"
	"fmt"
	"io"
	"log"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
)

// CaptureLibraries redirects the logs of hertz and of users of the standard logger, such as
// net/http, to l, each with its own part. Their loggers are global, so a process calls it once.
//
// Otherwise their lines would have a different format, ignore the level that operators set, and
// lack the instance.
func CaptureLibraries(l zerolog.Logger) {
	hlog.SetLogger(hertzLog{ComponentLogger(l, "hertz")})
	log.SetFlags(0)
	log.SetOutput(standardLog{ComponentLogger(l, "library")})
}

// standardLog logs the lines written by the standard logger.
type standardLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (s standardLog) Write(line []byte) (int, error) {
	s.log.Warn().Msg(string(line[:max(0, len(line)-1)]))
	return len(line), nil
}

// hertzLog implements hlog.FullLogger. It logs hertz's info lines (listening, shutting down) at
// debug level, since the part serve logs the same. Fatal does not exit the process: hertz calls it
// only for errors at its start, which it also returns.
type hertzLog struct{ log zerolog.Logger }

var _ hlog.FullLogger = hertzLog{}

func (h hertzLog) Trace(v ...any)  { h.log.Trace().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Debug(v ...any)  { h.log.Debug().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Info(v ...any)   { h.log.Debug().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Notice(v ...any) { h.log.Info().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Warn(v ...any)   { h.log.Warn().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Error(v ...any)  { h.log.Error().Msg(fmt.Sprint(v...)) }
func (h hertzLog) Fatal(v ...any)  { h.log.Error().Msg(fmt.Sprint(v...)) }

func (h hertzLog) Tracef(format string, v ...any)  { h.log.Trace().Msgf(format, v...) }
func (h hertzLog) Debugf(format string, v ...any)  { h.log.Debug().Msgf(format, v...) }
func (h hertzLog) Infof(format string, v ...any)   { h.log.Debug().Msgf(format, v...) }
func (h hertzLog) Noticef(format string, v ...any) { h.log.Info().Msgf(format, v...) }
func (h hertzLog) Warnf(format string, v ...any)   { h.log.Warn().Msgf(format, v...) }
func (h hertzLog) Errorf(format string, v ...any)  { h.log.Error().Msgf(format, v...) }
func (h hertzLog) Fatalf(format string, v ...any)  { h.log.Error().Msgf(format, v...) }

func (h hertzLog) CtxTracef(_ context.Context, format string, v ...any)  { h.Tracef(format, v...) }
func (h hertzLog) CtxDebugf(_ context.Context, format string, v ...any)  { h.Debugf(format, v...) }
func (h hertzLog) CtxInfof(_ context.Context, format string, v ...any)   { h.Infof(format, v...) }
func (h hertzLog) CtxNoticef(_ context.Context, format string, v ...any) { h.Noticef(format, v...) }
func (h hertzLog) CtxWarnf(_ context.Context, format string, v ...any)   { h.Warnf(format, v...) }
func (h hertzLog) CtxErrorf(_ context.Context, format string, v ...any)  { h.Errorf(format, v...) }
func (h hertzLog) CtxFatalf(_ context.Context, format string, v ...any)  { h.Fatalf(format, v...) }

// SetLevel and SetOutput do nothing: the process-wide level applies.
func (hertzLog) SetLevel(hlog.Level) {}
func (hertzLog) SetOutput(io.Writer) {}
