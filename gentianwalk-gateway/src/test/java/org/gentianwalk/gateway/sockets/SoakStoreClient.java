package org.gentianwalk.gateway.sockets;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.StoreVersion;
import org.gentianwalk.gateway.wire.ResponseHead;

/** Client of {@link SoakStore}, over the instance's own upstream connections. */
final class SoakStoreClient implements RowStore {
    private static final int OK = 200;
    private static final int GONE = 410;

    private final String mAddress;
    private final UpstreamSender mSender;
    private final ScheduledExecutorService mLoop;

    SoakStoreClient(String address, UpstreamSender sender, ScheduledExecutorService loop) {
        mAddress = address;
        mSender = sender;
        mLoop = loop;
    }

    @Override
    public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
        return call("/read/" + table + "/" + encode(fromKey), new byte[0], timeout);
    }

    @Override
    public CompletionStage<Result> changes(
            String table, long since, Duration wait, Duration timeout) {
        String target = "/changes/" + table + "/" + since + "/" + wait.toMillis();
        return call(target, new byte[0], wait.plus(timeout));
    }

    @Override
    public CompletionStage<Result> write(String table, String key, byte[] value, Duration timeout) {
        String target = (value == null ? "/remove/" : "/write/") + table + "/" + encode(key);
        return call(target, value == null ? new byte[0] : value, timeout);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private CompletionStage<Result> call(String target, byte[] body, Duration timeout) {
        Pending pending = new Pending();
        mLoop.execute(
                () -> {
                    UpstreamCall call =
                            mSender.send(
                                    mAddress,
                                    new UpstreamRequest(
                                            HttpMethod.POST,
                                            target,
                                            () -> new DefaultHttpHeaders().set("Host", mAddress),
                                            body,
                                            "",
                                            false),
                                    pending);
                    mLoop.schedule(
                            () -> {
                                if (pending.mResult.complete(
                                        new Result.Failed("no response in time", false))) {
                                    call.cancel();
                                }
                            },
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
                });
        return pending.mResult;
    }

    /** A call without a result yet. */
    private static final class Pending implements UpstreamListener {
        private final CompletableFuture<Result> mResult = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            mStatus = head.status();
        }

        @Override
        public void onBody(byte[] part) {
            mBody.writeBytes(part);
        }

        @Override
        public void onComplete() {
            if (mStatus == GONE) {
                mResult.complete(new Result.HistoryLost());
                return;
            }
            if (mStatus != OK) {
                mResult.complete(new Result.Failed("status " + mStatus, true));
                return;
            }
            String[] lines = mBody.toString(StandardCharsets.UTF_8).split("\n");
            List<Row> rows = new ArrayList<>();
            for (int i = 1; i < lines.length; i++) {
                String[] words = lines[i].split(" ", -1);
                rows.add(
                        new Row(
                                words[0],
                                Base64.getDecoder().decode(words[4]),
                                Boolean.parseBoolean(words[3]),
                                version(words[1], words[2]),
                                false));
            }
            String[] words = lines[0].split(" ", -1);
            mResult.complete(new Result.Rows(rows, false, version(words[0], words[1])));
        }

        private static StoreVersion version(String era, String version) {
            return new StoreVersion(Long.parseLong(era), Long.parseLong(version));
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            mResult.complete(new Result.Failed(failure + ": " + cause, false));
        }
    }
}
