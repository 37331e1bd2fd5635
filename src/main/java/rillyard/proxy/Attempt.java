package rillyard.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.Locale;
import rillyard.balancer.LoadReport;
import rillyard.balancer.Result;

/** One send of a request to a host; it ends with exactly one outcome. */
final class Attempt extends UpstreamCall {
  private final Exchange exchange;
  private final Dispatcher dispatcher;
  private final int number;
  private final double sentAt;
  private final Runnable resume = this::resumeReading;
  private Future<?> giveUp;
  private LoadReport report;
  private HttpResponse head;
  private Body body;
  private long length;
  private long passed;
  private boolean over;

  Attempt(Exchange exchange, Dispatcher dispatcher, Host host, int number, double sentAt) {
    super(host);
    this.exchange = exchange;
    this.dispatcher = dispatcher;
    this.number = number;
    this.sentAt = sentAt;
  }

  /** Starts it; {@code giveUpAfter} 0 leaves the request's own deadline as its only one. */
  void start(double giveUpAfter) {
    if (giveUpAfter > 0) {
      giveUp = dispatcher.later(giveUpAfter, this::timeUp);
    }
    dispatcher.upstreams().start(this);
  }

  boolean open() {
    return !over;
  }

  int number() {
    return number;
  }

  @Override
  ChannelFuture write(Channel channel) {
    return exchange.writeTo(channel);
  }

  @Override
  void writtenWhole() {
    dispatcher.figures().attemptWritten();
  }

  @Override
  void notSent() {
    finish(Result.CONNECT_FAILED);
  }

  @Override
  void moot() {
    finish(Result.MOOT);
  }

  /** Nobody waits any longer. What was not written whole never ran, whatever it waited for. */
  void timeUp() {
    finish(mayHaveRun() ? Result.TIMEOUT : Result.MOOT);
  }

  void cancel() {
    finish(mayHaveRun() ? Result.CANCELLED : Result.MOOT);
  }

  @Override
  void head(HttpResponse reply) {
    report = Reports.read(reply.headers().get(Headers.SERVER_LOAD));
    int status = reply.status().code();
    if (status == 200) {
      if (!mayHaveRun()) {
        finish(Result.CONNECT_FAILED); // no host can serve what it has not been sent
        return;
      }
      head = reply;
      length = HttpUtil.getContentLength(reply, -1L);
      // Guards against an answer that is said to be larger than any may be, and goes on coming; and
      // against one whose end, for want of a length, looks like a connection that broke half way.
      if (length > Body.MAX
          || (length < 0
              && !HttpUtil.isTransferEncodingChunked(reply)
              && HttpUtil.isKeepAlive(reply))) {
        broken();
      }
      return;
    }
    boolean turnedAway =
        (status == 503 || status == 504) && "1".equals(reply.headers().get(Headers.NOT_PROCESSED));
    connection().discardRest();
    finish(turnedAway ? Result.FULL : mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED);
  }

  @Override
  void content(HttpContent part) {
    int n = part.content().readableBytes();
    passed += n;
    if (passed > Body.MAX) {
      broken(); // larger than any answer may be
      return;
    }
    if (n > 0) {
      if (body == null) {
        body = dispatcher.newBody(length, false);
      }
      body.append(part.content());
      if (dispatcher.budget().full(body.size())) {
        connection().channel().config().setAutoRead(false);
        dispatcher.budget().await(resume);
      }
    }
  }

  /** Memory is free again. */
  void resumeReading() {
    if (!over && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  void end() {
    Body whole = body;
    body = null;
    exchange.served(head, whole);
    finish(Result.OK);
  }

  @Override
  void broken() {
    finish(Result.RESET);
  }

  private void finish(Result result) {
    if (over) {
      return;
    }
    over = true;
    if (giveUp != null) {
      giveUp.cancel(false);
    }
    dispatcher.budget().forget(resume);
    if (body != null) {
      body.free();
      body = null;
    }
    if (result == Result.TIMEOUT || result == Result.RESET || result == Result.CONNECT_FAILED) {
      dispatcher.log().line(() -> describe(result));
    }
    dispatcher.upstreams().end(this);
    exchange.attemptEnded(this, result, dispatcher.now() - sentAt, report);
  }

  private String describe(Result result) {
    String got =
        head != null
            ? passed + " bytes of an answer of " + length
            : connection() == null ? "no connection" : "no answer";
    return String.format(
        Locale.ROOT, "%s %s after %.0f ms: %s", host.name, result, dispatcher.now() - sentAt, got);
  }
}
