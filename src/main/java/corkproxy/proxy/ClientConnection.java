package corkproxy.proxy;

import corkproxy.balancer.Arrival;
import corkproxy.balancer.Settings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A connection of the application's: reads its requests one by one and writes their answers. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Sockets.Idle {
  /** Tells whether part of a request has come. */
  static final class Decoder extends HttpRequestDecoder {
    private boolean receiving;

    Decoder() {
      super(Upstreams.DECODER);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
      receiving = true;
      super.channelRead(ctx, ((QuietChannel) ctx.channel()).behindHeld((ByteBuf) msg));
    }

    boolean surplus() {
      return actualReadableBytes() > 0;
    }
  }

  /** The longest time (ms) a client may ask for; longer ones are cut to it. */
  private static final double MAX_TIMEOUT_MS = 600_000;

  /** How long (ns) a head may take, and a body may stand still. */
  private static final long SLOW_NANOS = 10_000_000_000L;

  /** How long (ms) the rest of a rejected message is read, so that the client sees its answer. */
  private static final long LINGER_MS = 1_000;

  /** The longest (ms) that a request waits for memory, and no longer than half of its time. */
  private static final double MAX_PAUSE_MS = 400;

  /** A request that is whole so soon (ns) after a pause had been waiting in its socket. */
  private static final long JUST_NOW_NANOS = 20_000_000L;

  private static final String NO_CLASS = "?";

  private final Front front;
  private final QuietChannel channel;
  private final Decoder decoder;
  private final boolean overflow;
  private final Runnable resume = this::resumeReading;
  private final ArrayDeque<HttpObject> ahead = new ArrayDeque<>(0);
  private HttpRequest head;
  private Body body;
  private boolean health;
  private double timeout;
  private String type;
  private Exchange exchange;
  private boolean closing;
  private boolean rejected;
  private boolean paused;
  private long pausedAt;
  private long resumedAt;
  private Future<?> pauseEnd;
  private long receivingSince;
  private long writingSince;

  /** {@code overflow} marks a connection beyond what is allowed: its request is refused. */
  ClientConnection(Front front, QuietChannel channel, Decoder decoder, boolean overflow) {
    this.front = front;
    this.channel = channel;
    this.decoder = decoder;
    this.overflow = overflow;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    front.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Exchange e = exchange;
    exchange = null;
    endPause();
    dropRequest();
    while (!ahead.isEmpty()) {
      ReferenceCountUtil.release(ahead.poll());
    }
    if (e != null) {
      e.clientGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      front.log().failure("a client's connection failed", cause);
      if (exchange != null) {
        exchange.failUnasked();
      }
    }
    channel.close();
  }

  // --- reading

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (exchange != null && !rejected) {
      // Sent ahead of its time: it waits for the answer before it, and nothing more is read.
      ahead.add((HttpObject) msg);
      channel.config().setAutoRead(false);
      return;
    }
    try {
      take((HttpObject) msg);
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void take(HttpObject part) {
    if (rejected) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      Throwable cause = part.decoderResult().cause();
      reject(
          cause instanceof TooLongHttpLineException
              ? 414
              : cause instanceof TooLongHttpHeaderException ? 431 : 400);
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (part instanceof HttpContent content && !rejected) {
      receivingSince = System.nanoTime();
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        append(bytes);
      }
      if (part instanceof LastHttpContent && !rejected) {
        complete();
      }
    }
  }

  private void begin(HttpRequest request) {
    front.sockets().clientIdle(this, false);
    head = request;
    HttpHeaders h = request.headers();
    closing = !HttpUtil.isKeepAlive(request);
    health = request.uri().equals("/_health");
    HttpMethod method = request.method();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      reject(505);
    } else if (method.equals(HttpMethod.CONNECT)
        || method.equals(HttpMethod.TRACE)
        || method.equals(HttpMethod.HEAD)) {
      reject(405);
    } else if (HttpUtil.getContentLength(request, 0L) > Body.MAX) {
      reject(413);
    } else if (!health) {
      String id = h.get(Headers.REQUEST_ID);
      type = type(request);
      timeout = timeout(h.get(Headers.TIMEOUT_MS));
      if (id == null || id.isBlank() || Double.isNaN(timeout)) {
        reject(400);
      }
    }
    if (!rejected && HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  /** The wait a client states, NaN if it is no number. Without one it is that of the class. */
  private double timeout(String s) {
    if (s == null) {
      Settings.RequestClass c = front.type(type);
      return c == null ? 1_000 : c.deadline();
    }
    try {
      double ms = Double.parseDouble(s.trim());
      return ms >= 0 ? Math.min(ms, MAX_TIMEOUT_MS) : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /**
   * The class as the module may know it. What the settings don't name, or what lacks the form that
   * makes its class repeatable, is no class: the module takes it for unsafe. The module keeps a
   * state for each class, so the names that clients make up must not reach it.
   */
  private String type(HttpRequest request) {
    String name = request.headers().get(Headers.CLASS);
    if (name == null) {
      String path = request.uri();
      int from = path.startsWith("/") ? 1 : 0;
      int to = from;
      while (to < path.length() && path.charAt(to) != '/' && path.charAt(to) != '?') {
        to++;
      }
      name = path.substring(from, to);
    }
    Settings.RequestClass c = front.type(name);
    if (c == null) {
      return NO_CLASS;
    }
    boolean fits =
        switch (c.semantics()) {
          case IDEMPOTENT -> request.method().equals(HttpMethod.GET);
          case DEDUPLICATED -> request.headers().contains(Headers.IDEMPOTENCY_KEY);
          case AT_MOST_ONCE -> true;
        };
    return fits ? name : NO_CLASS;
  }

  private void append(ByteBuf bytes) {
    if (body == null) {
      body = front.dispatcher().newBody(HttpUtil.getContentLength(head, -1L), true);
    }
    if (body.size() + bytes.readableBytes() > Body.MAX) {
      reject(413);
      return;
    }
    body.append(bytes);
    if (front.budget().full(body.size())) {
      if (front.budget().stuck()) {
        // Guards against requests that wait for each other's memory: the one at hand gives way.
        refuseForMemory();
      } else {
        paused = true;
        pausedAt = System.nanoTime();
        channel.config().setAutoRead(false);
        front.budget().await(resume);
        long most = (long) Math.min(MAX_PAUSE_MS, timeout / 2);
        pauseEnd =
            channel
                .eventLoop()
                .schedule(this::refuseForMemory, most, TimeUnit.MILLISECONDS);
      }
    }
  }

  /**
   * Guards against a request that is lost in our queue: what is not read may have been sent whole,
   * and its client waits for an answer. It was sent to no host, so trying again is harmless.
   */
  private void refuseForMemory() {
    front.refusedForMemory();
    reject(503);
  }

  private void resumeReading() {
    endPause();
    receivingSince = System.nanoTime();
    channel.config().setAutoRead(true);
  }

  private void endPause() {
    if (paused) {
      paused = false;
      resumedAt = System.nanoTime();
      front.budget().forget(resume);
      pauseEnd.cancel(false);
    }
  }

  private void complete() {
    decoder.receiving = decoder.surplus();
    if (paused) {
      resumeReading();
    }
    receivingSince = 0;
    HttpRequest request = head;
    Body whole = body;
    head = null;
    body = null;
    if (whole != null) {
      whole.completed();
    }
    if (health) {
      free(whole);
      answer(front.ready() ? 200 : 503, 0);
      return;
    }
    Dispatcher d = front.dispatcher();
    if (overflow || d.open() >= front.maxOpen()) {
      front.refusedForSockets();
      free(whole);
      closing |= overflow;
      answer(503, 0);
      return;
    }
    // Time in our own queue comes off the client's budget: its last byte may have waited there.
    long waited = System.nanoTime() - resumedAt < JUST_NOW_NANOS ? resumedAt - pausedAt : 0;
    double budget = Math.max(0, timeout - waited / 1e6);
    exchange = new Exchange(d.newId(), d, this, request, whole, d.now() + budget);
    if (channel.ended()) {
      // Guards against work for clients that left while the loop was behind: each send would be
      // called off at once, at the price of its connection, and the loop fall further behind.
      exchange.dropUnsent();
      exchange = null;
      channel.close();
      return;
    }
    decoder.receiving |= channel.holding();
    HttpHeaders h = request.headers();
    d.arrived(
        exchange,
        new Arrival(
            exchange.id,
            type,
            h.get(Headers.TENANT),
            budget,
            estimate(h.get(Headers.COST)),
            "1".equals(h.get(Headers.RETRIED))));
  }

  /** The work expected, which clients state in microseconds and the module takes in ms. */
  private static double estimate(String s) {
    try {
      double us = s == null ? Double.NaN : Double.parseDouble(s.trim());
      return us >= 0 && Double.isFinite(us) ? us / 1_000 : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  private static void free(Body b) {
    if (b != null) {
      b.free();
    }
  }

  private void dropRequest() {
    free(body);
    body = null;
    head = null;
  }

  // --- writing

  /** An answer of our own. */
  void answer(int status, double coolDownMs) {
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (coolDownMs > 0) {
      r.headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", coolDownMs / 1_000));
    }
    markClose(r);
    answered(channel.writeAndFlush(r));
  }

  /** A host's answer that has come whole. */
  void answer(HttpResponse reply, Body whole) {
    HttpHeaders h = reply.headers();
    Headers.dropHopByHop(h);
    h.set(HttpHeaderNames.CONTENT_LENGTH, whole == null ? 0 : whole.size());
    ByteBuf bytes = whole == null ? Unpooled.EMPTY_BUFFER : joined(whole);
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes, h, Headers.NONE);
    markClose(r);
    ChannelFuture written = channel.writeAndFlush(r);
    if (whole != null) {
      written.addListener(f -> whole.free());
    }
    answered(written);
  }

  private static ByteBuf joined(Body whole) {
    ByteBuf[] blocks = whole.retained().toArray(ByteBuf[]::new);
    return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
  }

  private void markClose(HttpResponse r) {
    closing |= front.draining();
    if (closing) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  void beginStream(HttpResponse reply, long length) {
    HttpHeaders h = reply.headers();
    Headers.dropHopByHop(h);
    DefaultHttpResponse r =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, h);
    if (length < 0) {
      h.remove(HttpHeaderNames.CONTENT_LENGTH);
      HttpUtil.setTransferEncodingChunked(r, true);
    }
    markClose(r);
    channel.write(r);
  }

  void streamPart(ByteBuf bytes) {
    channel.write(new DefaultHttpContent(bytes));
  }

  boolean flushStream() {
    channel.flush();
    return channel.isWritable();
  }

  boolean writable() {
    return channel.isWritable();
  }

  void endStream() {
    answered(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Ends an answer that can't be finished so that the client sees it is not whole. */
  void cut() {
    exchange = null;
    channel.config().setSoLinger(0);
    channel.close();
  }

  private void answered(ChannelFuture written) {
    exchange = null;
    if (closing) {
      written.addListener(f -> linger());
      return;
    }
    if (!written.isDone()) {
      writingSince = System.nanoTime();
      written.addListener(f -> writingSince = 0);
    }
    if (!ahead.isEmpty()) {
      takeAhead();
    } else if (!decoder.receiving) {
      front.sockets().clientIdle(this, true);
    }
  }

  private void takeAhead() {
    while (exchange == null && !ahead.isEmpty()) {
      HttpObject part = ahead.poll();
      try {
        take(part);
      } finally {
        ReferenceCountUtil.release(part);
      }
    }
    if (ahead.isEmpty() && !paused) {
      channel.config().setAutoRead(true);
    }
  }

  /** Answers what can't be a request and ends the connection. */
  private void reject(int status) {
    rejected = true;
    endPause();
    dropRequest();
    closing = true;
    answer(status, 0);
    channel.config().setAutoRead(true);
  }

  /**
   * Closes after an answer. Guards against a reset that overtakes it: a close while bytes are
   * unread would be one, so the sending ends first and what still comes is thrown away.
   */
  private void linger() {
    rejected = true;
    if (!channel.isActive()) {
      return;
    }
    channel.shutdownOutput();
    channel.config().setAutoRead(true);
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null && channel.isWritable()) {
      exchange.streamWritable();
    }
  }

  // --- upkeep

  /** Whether it carries a request, or part of one, or an answer that is not written yet. */
  boolean busy() {
    return exchange != null || decoder.receiving || writingSince != 0 || closing;
  }

  @Override
  public void closeIdle() {
    channel.close();
  }

  void sweep(long now) {
    if (decoder.receiving && receivingSince == 0) {
      receivingSince = now;
    }
    if (!rejected
        && exchange == null
        && !paused
        && receivingSince != 0
        && now - receivingSince > SLOW_NANOS) {
      reject(408);
    } else if (writingSince != 0 && now - writingSince > Exchange.CLIENT_STALL) {
      channel.close();
    }
  }
}
