package org.gentianwalk.server.platform;

import java.net.http.HttpResponse;
import java.time.Duration;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.WeightStore;

/** HTTP client of the weight store. */
public final class HttpWeights implements WeightStore {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int TOO_MANY = 429;

    /** Delay when a throttled response has no {@code Retry-After} header. */
    private static final Duration DEFAULT_WAIT = Duration.ofSeconds(5);

    private final PlatformHttp mHttp;

    /**
     * Creates the client.
     *
     * @param http connection to the platform
     */
    public HttpWeights(PlatformHttp http) {
        mHttp = http;
    }

    @Override
    public Grant request(String model) throws PlatformException {
        String path = "/weights/" + PlatformHttp.encode(model);
        HttpResponse<byte[]> response =
                Responses.require(
                        mHttp.read(mHttp.request(path).GET().build()), OK, NO_CONTENT, TOO_MANY);
        if (response.statusCode() != TOO_MANY) {
            return new Grant.Granted();
        }
        return new Grant.Throttled(retryAfter(response));
    }

    private static Duration retryAfter(HttpResponse<?> response) {
        String seconds = response.headers().firstValue("Retry-After").orElse("");
        return seconds.matches("[0-9]{1,6}")
                ? Duration.ofSeconds(Long.parseLong(seconds))
                : DEFAULT_WAIT;
    }
}
