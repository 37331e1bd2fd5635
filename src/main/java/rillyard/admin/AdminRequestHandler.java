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

/** Handles a request to the admin endpoint. Status 2xx means yes; 4xx and 5xx mean no, with a line that says why. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_HOST_ID_LENGTH = 128;

    private record AdminResponse(HttpResponseStatus status, String text) {}

    private final AdminOperations operations;

    AdminRequestHandler(AdminOperations operations) {
        this.operations = operations;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        CompletionStage<AdminResponse> completion = request.decoderResult().isFailure()
                ? completed(HttpResponseStatus.BAD_REQUEST, "not a request that can be read\n")
                : execute(request, ctx.channel().eventLoop());
        completion.whenComplete((response, failure) -> writeResponse(
                ctx,
                failure == null
                        ? response
                        : new AdminResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "not done: " + failure + "\n")));
    }

    private static void writeResponse(ChannelHandlerContext ctx, AdminResponse response) {
        ByteBuf body = Unpooled.copiedBuffer(response.text(), StandardCharsets.UTF_8);
        DefaultFullHttpResponse httpResponse =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), body);
        httpResponse
                .headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
    }

    private static CompletionStage<AdminResponse> completed(HttpResponseStatus status, String text) {
        return CompletableFuture.completedFuture(new AdminResponse(status, text));
    }

    private CompletionStage<AdminResponse> execute(FullHttpRequest request, Executor fileExecutor) {
        String path = request.uri();
        boolean requiresPost = path.startsWith("/_hosts/");
        if (!path.equals("/_ready")
                && !path.equals("/_vars")
                && !path.equals("/_hosts/detach")
                && !path.equals("/_hosts/attach")) {
            return completed(HttpResponseStatus.NOT_FOUND, "no such call: " + path + "\n");
        }
        if (!request.method().equals(requiresPost ? HttpMethod.POST : HttpMethod.GET)) {
            return completed(
                    HttpResponseStatus.METHOD_NOT_ALLOWED,
                    path + " is called by " + (requiresPost ? "POST" : "GET") + "\n");
        }
        if (path.equals("/_ready")) {
            return operations.isReady()
                    ? completed(HttpResponseStatus.OK, "ready\n")
                    : completed(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
        }
        if (path.equals("/_vars")) {
            return completed(HttpResponseStatus.OK, operations.metrics().text());
        }
        String host = request.content().toString(StandardCharsets.UTF_8).strip();
        if (host.isEmpty() || host.length() > MAX_HOST_ID_LENGTH) {
            return completed(
                    HttpResponseStatus.BAD_REQUEST,
                    "the body is to be the id of one host, 1 to " + MAX_HOST_ID_LENGTH + " characters\n");
        }
        boolean isDetach = path.endsWith("/detach");
        return (isDetach ? operations.detach(host, fileExecutor) : operations.attach(host, fileExecutor))
                .thenApply(known -> known
                        ? new AdminResponse(
                                HttpResponseStatus.OK, host + (isDetach ? " is out\n" : " may serve again\n"))
                        : new AdminResponse(HttpResponseStatus.NOT_FOUND, "no host of the id " + host + "\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
