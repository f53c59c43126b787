package peer

import (
	"context"
	"path"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// propagator encodes the span context as W3C trace context.
var propagator = propagation.TraceContext{}

// traceCalls returns an interceptor that starts a span for each call that belongs to a trace, and
// sends the span context along. Calls outside of a trace, such as heartbeats, get none: they are
// most of the calls and don't belong to a request.
func traceCalls() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			parent := trace.SpanFromContext(ctx)
			if !parent.SpanContext().IsValid() {
				return next(ctx, req)
			}
			tracer := parent.TracerProvider().Tracer("pollenspindle")
			ctx, span := tracer.Start(ctx, spanName(req), trace.WithSpanKind(trace.SpanKindClient))
			defer span.End()
			propagator.Inject(ctx, propagation.HeaderCarrier(req.Header()))
			res, err := next(ctx, req)
			if err != nil {
				span.SetStatus(codes.Error, connect.CodeOf(err).String())
			}
			return res, err
		}
	}
}

// WithTracing returns an option that starts a span for each call that has a span context.
func WithTracing(tracer trace.Tracer) connect.HandlerOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			ctx = propagator.Extract(ctx, propagation.HeaderCarrier(req.Header()))
			if !trace.SpanContextFromContext(ctx).IsValid() {
				return next(ctx, req)
			}
			ctx, span := tracer.Start(ctx, spanName(req), trace.WithSpanKind(trace.SpanKindServer))
			defer span.End()
			return next(ctx, req)
		}
	}))
}

// spanName returns the span name of a call, such as peer.Acquire.
func spanName(req connect.AnyRequest) string {
	return "peer." + path.Base(req.Spec().Procedure)
}
