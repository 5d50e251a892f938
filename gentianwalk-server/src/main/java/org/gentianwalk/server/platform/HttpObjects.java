package org.gentianwalk.server.platform;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.PlatformException;

/** HTTP client of the object store. */
public final class HttpObjects implements ObjectStore {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;

    private final PlatformHttp mHttp;

    /**
     * Creates the client.
     *
     * @param http connection to the platform
     */
    public HttpObjects(PlatformHttp http) {
        mHttp = http;
    }

    @Override
    public void put(String key, byte[] content) throws PlatformException {
        HttpRequest request =
                mHttp.request(path(key))
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(content))
                        .build();
        Responses.require(mHttp.write(request), OK, NO_CONTENT);
    }

    @Override
    public Optional<byte[]> read(String key) throws PlatformException {
        HttpResponse<byte[]> response =
                Responses.require(
                        mHttp.read(mHttp.request(path(key)).GET().build()), OK, NOT_FOUND);
        return response.statusCode() == OK ? Optional.of(response.body()) : Optional.empty();
    }

    @Override
    public void delete(String key) throws PlatformException {
        HttpRequest request = mHttp.request(path(key)).DELETE().build();
        Responses.require(mHttp.write(request), OK, NO_CONTENT, NOT_FOUND);
    }

    private static String path(String key) {
        return "/objects/" + PlatformHttp.encode(key);
    }
}
