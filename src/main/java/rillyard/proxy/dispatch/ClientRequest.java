package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import rillyard.balancer.IncomingRequest;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.ReceivedHeaders;

/**
 * A validated request of a client, with a buffered body, a streaming upload, or no body.
 *
 * @param requestId id that the client gave the request
 * @param requestClass name of a configured class
 * @param head method, target and headers
 * @param body buffered body, null if there is none
 * @param upload body that is forwarded while it is received, null if the request is no upload
 * @param timeoutMillis time that is left for the request; for an upload it starts at the last byte
 */
public record ClientRequest(
        String requestId,
        String requestClass,
        HttpRequest head,
        BufferedBody body,
        StreamingUpload upload,
        double timeoutMillis) {

    /** Returns whether the body is, or was, forwarded while it is received. */
    boolean isUpload() {
        return upload != null;
    }

    /** Returns whether the request is an upload whose last byte has not been received. */
    boolean isUploadIncomplete() {
        return upload != null && !upload.isComplete();
    }

    /** Returns whether the request can't be sent on another connection, for the time being or for good. */
    boolean isBoundToConnection() {
        return upload != null && upload.isBoundToConnection();
    }

    /** Changes the headers to those that are sent to a host. */
    void prepareHeaders() {
        HttpHeaders headers = head.headers();
        ProtocolHeaders.dropHopByHop(headers);
        if (body != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size());
        }
        headers.remove(HttpHeaderNames.EXPECT);
    }

    /**
     * Returns what the balancer needs of the request.
     *
     * @param id id of the exchange
     * @param remainingMillis time until the client's deadline, infinite while the request is being received
     */
    IncomingRequest toIncomingRequest(long id, double remainingMillis) {
        String tenant = head.headers().get(ProtocolHeaders.TENANT);
        return new IncomingRequest(id, requestClass, tenant, remainingMillis);
    }

    /**
     * Writes the request, or the part of an upload that has been received.
     *
     * @param remainingMillis remaining time, which is sent to the host
     * @return the future of the write of the request's last byte
     */
    ChannelFuture writeTo(Channel channel, double remainingMillis) {
        HttpHeaders headers = head.headers();
        headers.set(ProtocolHeaders.TIMEOUT_MS, Math.max(1, (long) remainingMillis));
        if (upload != null) {
            return upload.writeTo(channel, head, headers);
        }
        List<ByteBuf> blocks = body == null ? List.of() : body.retainedBlocks();
        if (blocks.size() <= 1) {
            ByteBuf content = blocks.isEmpty() ? Unpooled.EMPTY_BUFFER : blocks.get(0);
            return channel.writeAndFlush(new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, head.method(), head.uri(), content, headers, ProtocolHeaders.NONE));
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        for (ByteBuf block : blocks) {
            channel.write(new DefaultHttpContent(block));
        }
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Frees the memory of the head and of the body. */
    void release() {
        ReceivedHeaders.release(head.headers());
        if (body != null) {
            body.release();
        }
        if (upload != null) {
            upload.release();
        }
    }
}
