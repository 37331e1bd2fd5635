package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import rillyard.proxy.resources.BufferedBody;

/**
 * Receives the response of a {@link RequestExchange}: a status, a complete response, or a response that is forwarded
 * while it is received, which ends with {@link #endResponse} or {@link #abortResponse}.
 *
 * <p>Calls are on the event loop.
 */
public interface ResponseReceiver {
    /**
     * Sends a response of the proxy itself, which has no body.
     *
     * @param status HTTP status code
     * @param retryAfterMillis how long the client should wait before a retry, 0 if unknown
     */
    void sendStatus(int status, double retryAfterMillis);

    /**
     * Sends a host's complete response.
     *
     * @param response head of the response; its headers are changed
     * @param body null if there is none; the receiver releases it
     */
    void sendResponse(HttpResponse response, BufferedBody body);

    /**
     * Sends the head of a response that is forwarded while it is received.
     *
     * @param contentLength length of its body in bytes, -1 if unknown
     */
    void beginResponse(HttpResponse response, long contentLength);

    /**
     * Sends a part of the body of a forwarded response; takes over the caller's reference.
     *
     * @return whether the client accepts more for now; {@link RequestExchange#onClientWritable} follows if not
     */
    boolean sendContent(ByteBuf content);

    /** Sends parts that {@link #sendContent} may have kept to send them together. */
    void flushContent();

    /** Ends a forwarded response that is complete. */
    void endResponse();

    /** Ends a forwarded response that was truncated, in a way that the client can detect. */
    void abortResponse();

    /**
     * Ends a response whose delivery has thrown: with a failure if nothing of it was sent, else as
     * {@link #abortResponse} does.
     */
    void failResponse();

    /**
     * Returns whether the client was connected a moment ago. It may have left if its connection has ended, or if input
     * has been unread for a while, as the end of a connection is seen only behind it.
     */
    boolean isClientPresent();

    /** Resumes reading the body of the request, as the host accepts more of it. */
    void resumeRequestBody();
}
