package rillyard.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/** One call on the second address: 2xx means yes, 4xx and 5xx no, with a line that says why. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_NAME = 128;

    private record AdminResponse(HttpResponseStatus status, String text) {}

    private final AdminOperations operations;

    AdminRequestHandler(AdminOperations operations) {
        this.operations = operations;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        CompletionStage<AdminResponse> reply = request.decoderResult().isFailure()
                ? reply(HttpResponseStatus.BAD_REQUEST, "not a request that can be read\n")
                : carriedOut(request, ctx.channel().eventLoop());
        reply.whenComplete((response, failure) -> answer(
                ctx,
                failure == null
                        ? response
                        : new AdminResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "not done: " + failure + "\n")));
    }

    private static void answer(ChannelHandlerContext ctx, AdminResponse reply) {
        ByteBuf body = Unpooled.copiedBuffer(reply.text(), StandardCharsets.UTF_8);
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(), body);
        r.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }

    private static CompletionStage<AdminResponse> reply(HttpResponseStatus status, String why) {
        return CompletableFuture.completedFuture(new AdminResponse(status, why));
    }

    private CompletionStage<AdminResponse> carriedOut(FullHttpRequest request, Executor files) {
        String path = request.uri();
        boolean post = path.startsWith("/_hosts/");
        if (!path.equals("/_ready")
                && !path.equals("/_vars")
                && !path.equals("/_hosts/detach")
                && !path.equals("/_hosts/attach")) {
            return reply(HttpResponseStatus.NOT_FOUND, "no such call: " + path + "\n");
        }
        if (!request.method().equals(post ? HttpMethod.POST : HttpMethod.GET)) {
            return reply(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, path + " is called by " + (post ? "POST" : "GET") + "\n");
        }
        if (path.equals("/_ready")) {
            return operations.isReady()
                    ? reply(HttpResponseStatus.OK, "ready\n")
                    : reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
        }
        if (path.equals("/_vars")) {
            return reply(HttpResponseStatus.OK, operations.metrics().text());
        }
        String host = request.content().toString(StandardCharsets.UTF_8).strip();
        if (host.isEmpty() || host.length() > MAX_NAME) {
            return reply(
                    HttpResponseStatus.BAD_REQUEST,
                    "the body is to be the id of one host, 1 to " + MAX_NAME + " characters\n");
        }
        boolean out = path.endsWith("/detach");
        return (out ? operations.detach(host, files) : operations.attach(host, files))
                .thenApply(known -> known
                        ? new AdminResponse(HttpResponseStatus.OK, host + (out ? " is out\n" : " may serve again\n"))
                        : new AdminResponse(HttpResponseStatus.NOT_FOUND, "no host of the id " + host + "\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
