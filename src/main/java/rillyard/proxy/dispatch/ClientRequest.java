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

/**
 * A validated request of a client, with either a buffered body, a body that is forwarded as it comes, or none.
 *
 * @param requestId id that the client gave it
 * @param requestClass name of a configured class
 * @param head method, target and headers
 * @param body buffered body, null if there is none
 * @param upload body that is forwarded as it comes, null if it is complete
 * @param timeoutMillis time that is left for it; of an upload it runs from the last byte on
 */
public record ClientRequest(
        String requestId,
        String requestClass,
        HttpRequest head,
        BufferedBody body,
        StreamingUpload upload,
        double timeoutMillis) {

    /** Returns whether the body is forwarded as it comes, or was. */
    boolean isUpload() {
        return upload != null;
    }

    /** Returns whether the last byte of the body has not come yet. */
    boolean isUploadIncomplete() {
        return upload != null && !upload.isComplete();
    }

    /** Returns whether the request can't be sent on another connection, now or at all. */
    boolean isBoundToConnection() {
        return upload != null && upload.isBound();
    }

    /** Changes the headers to those that go to a host. */
    void prepareHeaders() {
        HttpHeaders headers = head.headers();
        ProtocolHeaders.dropHopByHop(headers);
        if (body != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size());
        }
        headers.remove(HttpHeaderNames.EXPECT);
    }

    /** Returns the request as the balancer sees it, under the exchange's {@code id}. */
    IncomingRequest toIncomingRequest(long id) {
        String tenant = head.headers().get(ProtocolHeaders.TENANT);
        return new IncomingRequest(id, requestClass, tenant, isUpload() ? Double.POSITIVE_INFINITY : timeoutMillis);
    }

    /**
     * Writes the request, or as much of an upload as has come.
     *
     * @param remainingMillis time that the host is told
     * @return the future of the request's last byte
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

    /** Frees the memory of the body. */
    void release() {
        if (body != null) {
            body.release();
        }
        if (upload != null) {
            upload.release();
        }
    }
}
