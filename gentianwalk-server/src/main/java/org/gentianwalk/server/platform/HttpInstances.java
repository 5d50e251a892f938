package org.gentianwalk.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.platform.PlatformException;

/** HTTP client of the instance list. */
public final class HttpInstances implements InstanceList {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final PlatformHttp mHttp;

    /**
     * Creates the client.
     *
     * @param http connection to the platform
     */
    public HttpInstances(PlatformHttp http) {
        mHttp = http;
    }

    @Override
    public List<Entry> entries() throws PlatformException {
        HttpResponse<byte[]> response =
                Responses.require(mHttp.read(mHttp.request("/instances").GET().build()), OK);
        List<Entry> entries = new ArrayList<>();
        try {
            for (JsonNode node : JSON.readTree(response.body()).path("instances")) {
                entries.add(entry(node));
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new PlatformException("the instance list is malformed", e);
        }
        return entries;
    }

    private static Entry entry(JsonNode node) {
        return new Entry(
                node.path("id").asText(),
                Kind.valueOf(node.path("kind").asText().toUpperCase(Locale.ROOT)),
                node.path("address").asText(),
                new Location(node.path("region").asText(), node.path("zone").asText()),
                State.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT)));
    }
}
