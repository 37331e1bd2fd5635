package rillyard.proxy.resources;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** A trailer section that validates its fields and keeps none, as trailers are not forwarded. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    /** Creates such sections. */
    static final class Factory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    private DiscardedTrailers() {}

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        super.add(name, value);
        return clear();
    }
}
